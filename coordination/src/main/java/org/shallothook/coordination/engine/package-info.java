/** Monitoring of a sidecar's engine: its state, incarnation and cached blocks. */
package org.shallothook.coordination.engine;

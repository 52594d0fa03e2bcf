/** Decisions of a sidecar: events in, commands out, no threads and no input or output. */
package org.shallothook.coordination.sidecar;

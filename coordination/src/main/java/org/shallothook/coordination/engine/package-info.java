/** What a sidecar knows of its engine: state, incarnation and cache. */
package org.shallothook.coordination.engine;

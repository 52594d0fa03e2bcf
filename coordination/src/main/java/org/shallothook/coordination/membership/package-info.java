/** A router's view of its peers: which exist, are reachable, are leaving, or are slow. */
package org.shallothook.coordination.membership;

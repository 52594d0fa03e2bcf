/** Leases with stored deadlines, as folded from a stream of the log. */
package org.shallothook.state.lease;

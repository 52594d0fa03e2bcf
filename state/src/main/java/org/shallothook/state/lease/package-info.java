/** Leases with stored deadlines, built from the records of a log stream. */
package org.shallothook.state.lease;

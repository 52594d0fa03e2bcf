/** Leases over the log for loads of weights. */
package org.shallothook.coordination.lease;

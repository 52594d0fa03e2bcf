/** Leases in the log that limit concurrent loads of model weights. */
package org.shallothook.coordination.lease;

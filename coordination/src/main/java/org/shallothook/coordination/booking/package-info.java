/** Calls that may not be repeated: claims before dispatch, and outcomes for repeats. */
package org.shallothook.coordination.booking;

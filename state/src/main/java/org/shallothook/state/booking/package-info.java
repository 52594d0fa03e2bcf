/** Claims of calls that may not be repeated, as folded from partitions of the log. */
package org.shallothook.state.booking;

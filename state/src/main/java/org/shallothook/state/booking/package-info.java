/** Claims on calls that must not be repeated, built from the records of log partitions. */
package org.shallothook.state.booking;

/**
 * Calls that must not be repeated: claims made before dispatch, and stored outcomes for repeats.
 */
package org.shallothook.coordination.booking;

/** Typed messages between the system's own processes. */
package org.shallothook.coordination.message;

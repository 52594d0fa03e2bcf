/** Typed messages of the peer protocol between the system's processes. */
package org.shallothook.coordination.message;

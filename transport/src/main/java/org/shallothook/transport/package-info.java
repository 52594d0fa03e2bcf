/** Sockets, event loops and the decision thread: the I/O layer of a process. */
package org.shallothook.transport;

/**
 * Sockets, event loops and the decision thread: everything of a process that does input and output.
 */
package org.shallothook.transport;

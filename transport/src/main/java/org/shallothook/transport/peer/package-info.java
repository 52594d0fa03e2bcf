/** Connections between the system's own processes: length-prefixed protobuf frames over TCP. */
package org.shallothook.transport.peer;

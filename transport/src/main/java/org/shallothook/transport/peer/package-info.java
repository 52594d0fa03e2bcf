/** Connections between instances: length-prefixed protobuf frames over TCP. */
package org.shallothook.transport.peer;

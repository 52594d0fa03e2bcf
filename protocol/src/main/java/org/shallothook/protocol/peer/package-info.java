/** Mapping between typed peer messages and the protobuf frames that carry them. */
package org.shallothook.protocol.peer;

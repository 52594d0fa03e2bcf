/** Serialization of typed values to the formats of the peer, caller and platform protocols. */
package org.shallothook.protocol;

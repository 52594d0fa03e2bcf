/** Mapping between typed values and the bytes on connections. */
package org.shallothook.protocol;

/**
 * Which software version began a stream, so that the stream is resumed only at servers of that
 * version. What routers know about it lies in the store and outlives them.
 */
package org.shallothook.coordination.origin;

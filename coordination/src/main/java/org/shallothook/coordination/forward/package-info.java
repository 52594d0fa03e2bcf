/**
 * Decision core of a router that forwards whole requests to servers: route matching, server
 * selection, queueing, retries, stream resumption and refusals.
 */
package org.shallothook.coordination.forward;

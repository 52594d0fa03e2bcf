/**
 * HTTP proxy: forwards complete requests from callers to the servers chosen by decisions, and
 * relays the responses. Bodies and events are opaque.
 */
package org.shallothook.transport.forward;

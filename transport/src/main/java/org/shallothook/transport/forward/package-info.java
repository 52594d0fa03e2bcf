/**
 * Passes whole requests from callers to servers and their answers back, as decisions say. Bodies
 * and events stay opaque.
 */
package org.shallothook.transport.forward;

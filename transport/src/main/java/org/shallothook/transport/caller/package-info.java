/** The HTTP server for callers. */
package org.shallothook.transport.caller;

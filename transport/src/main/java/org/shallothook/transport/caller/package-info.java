/** HTTP server for the callers of a router: chat completions, models and service calls. */
package org.shallothook.transport.caller;

/** JSON forms between callers and a router: chat completions, services, models and errors. */
package org.shallothook.protocol.caller;

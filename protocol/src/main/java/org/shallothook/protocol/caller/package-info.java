/** Formats of the API for callers: chat completions, service paths, models and errors. */
package org.shallothook.protocol.caller;

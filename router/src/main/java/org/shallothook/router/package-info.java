/**
 * The router binary: command line, settings, and the wiring of the transport to the decision core.
 */
package org.shallothook.router;

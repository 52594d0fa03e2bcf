/** The sidecar binary: command line, settings, and the wiring of transport to decisions. */
package org.shallothook.sidecar;

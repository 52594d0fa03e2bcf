/** Startup, signals, shutdown and clocks, as used by both binaries. */
package org.shallothook.transport.process;

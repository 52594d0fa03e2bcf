/** Counters, timers and gauges of a process, and their export formats. */
package org.shallothook.transport.metrics;

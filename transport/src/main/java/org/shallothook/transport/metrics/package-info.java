/** Counters and timers of a process, and their forms for operators. */
package org.shallothook.transport.metrics;

/** Processor time and memory of running processes, read from outside. */
package org.shallothook.benchmarks.processes;

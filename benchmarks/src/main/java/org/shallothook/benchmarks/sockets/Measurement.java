package org.shallothook.benchmarks.sockets;

/** One measurement. Used once, on one thread. */
@FunctionalInterface
interface Measurement {

  /** Measures and returns one line that names the figure and its unit. */
  String measure() throws Exception;
}

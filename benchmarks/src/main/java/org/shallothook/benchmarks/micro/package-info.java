/** Microbenchmarks of single decisions and data structures, run by JMH. */
package org.shallothook.benchmarks.micro;

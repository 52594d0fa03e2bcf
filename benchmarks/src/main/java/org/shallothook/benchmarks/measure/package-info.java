/** Measures of model traffic in virtual time, their bounds and baselines. */
package org.shallothook.benchmarks.measure;

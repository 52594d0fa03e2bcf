/** Slopes of state and processor time by size, for the capacity page. */
package org.shallothook.benchmarks.slopes;

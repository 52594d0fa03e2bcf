/** Command that runs the measures, prints them, and writes JSON and plots. */
package org.shallothook.benchmarks.bench;

/** Placeholder. */
package org.shallothook.benchmarks;

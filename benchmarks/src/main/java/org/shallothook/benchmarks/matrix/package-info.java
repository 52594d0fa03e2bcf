/** Fault matrix: every fault at every step, on the real decisions of routers and sidecars. */
package org.shallothook.benchmarks.matrix;

/**
 * Fault matrix: injects every fault at every step into a fleet that runs the production decision
 * code of routers and sidecars in virtual time.
 */
package org.shallothook.benchmarks.matrix;

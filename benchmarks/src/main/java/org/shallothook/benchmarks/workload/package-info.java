/** Seeded traffic of both deployments for fleets in virtual time. */
package org.shallothook.benchmarks.workload;

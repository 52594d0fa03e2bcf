/** Load tools, experiments and demonstrations; no part of the shipped binaries. */
package org.shallothook.benchmarks;

/** Wall-clock costs of connections and of the decision thread. */
package org.shallothook.benchmarks.sockets;

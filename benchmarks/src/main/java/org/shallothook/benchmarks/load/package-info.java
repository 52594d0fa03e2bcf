/** Wall-clock comparison of two ways of sending chats, in paired trials over sockets. */
package org.shallothook.benchmarks.load;

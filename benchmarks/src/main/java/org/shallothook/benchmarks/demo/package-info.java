/** Demonstration of a whole deployment on loopback. */
package org.shallothook.benchmarks.demo;

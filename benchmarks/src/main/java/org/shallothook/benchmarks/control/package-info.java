/** Bytes that processes spend on control, by kind of message. */
package org.shallothook.benchmarks.control;

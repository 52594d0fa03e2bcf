/** The single thread on which a process makes its decisions, and its event queue. */
package org.shallothook.transport.decision;

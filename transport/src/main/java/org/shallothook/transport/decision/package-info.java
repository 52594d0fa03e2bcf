/** The thread on which all decisions of a process are made, and the way into it. */
package org.shallothook.transport.decision;

/** What both binaries do when they start and stop. */
package org.shallothook.transport.process;

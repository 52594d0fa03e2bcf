/** Command-line parts that both binaries share. */
package org.shallothook.transport.command;

/** Command-line interface shared by both binaries. */
package org.shallothook.transport.command;

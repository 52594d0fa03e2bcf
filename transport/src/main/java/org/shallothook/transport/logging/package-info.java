/** Logging of both binaries: log lines with a fixed prefix per component, and decision logs. */
package org.shallothook.transport.logging;

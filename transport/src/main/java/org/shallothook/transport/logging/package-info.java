/** Logs of both binaries: short sentences with a fixed prefix for each part. */
package org.shallothook.transport.logging;

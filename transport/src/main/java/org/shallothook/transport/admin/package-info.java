/** HTTP server for operators and health probes. */
package org.shallothook.transport.admin;

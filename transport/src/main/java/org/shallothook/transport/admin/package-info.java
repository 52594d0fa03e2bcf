/** The HTTP port for operators and probes. */
package org.shallothook.transport.admin;

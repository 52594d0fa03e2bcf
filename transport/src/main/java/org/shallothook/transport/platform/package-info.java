/** HTTP clients for platform services, model engines and plain services. */
package org.shallothook.transport.platform;

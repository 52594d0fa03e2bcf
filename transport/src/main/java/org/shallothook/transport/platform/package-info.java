/** HTTP clients of the platform's services, of engines and of plain services. */
package org.shallothook.transport.platform;

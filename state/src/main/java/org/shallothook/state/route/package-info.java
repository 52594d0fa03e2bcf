/** Configuration of request forwarding: routes, services, servers and teams. */
package org.shallothook.state.route;

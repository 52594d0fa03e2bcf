/** What callers may ask for and who serves it, for request forwarding. */
package org.shallothook.state.route;

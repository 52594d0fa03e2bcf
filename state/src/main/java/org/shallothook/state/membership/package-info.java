/** Instances of the fleet and their roles. */
package org.shallothook.state.membership;

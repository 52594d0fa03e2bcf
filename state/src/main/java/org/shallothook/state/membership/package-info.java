/** Instances known to the fleet, their roles and their states. */
package org.shallothook.state.membership;

/** Records of the platform's append-only log as the system sees them. */
package org.shallothook.state.log;

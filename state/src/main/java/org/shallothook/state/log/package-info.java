/** Records of the platform's append-only log, and state built from them. */
package org.shallothook.state.log;

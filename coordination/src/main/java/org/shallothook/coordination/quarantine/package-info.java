/** Requests that crash engines: fingerprints, suspects and the quarantine shared by all routers. */
package org.shallothook.coordination.quarantine;

/** Requests that crash engines: fingerprints, suspects, and the fleet-wide quarantine. */
package org.shallothook.coordination.quarantine;

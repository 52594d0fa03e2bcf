/** Placeholder. */
package org.shallothook.sidecar;

/** Placeholder. */
package org.shallothook.transport;

/** Placeholder. */
package org.shallothook.protocol;

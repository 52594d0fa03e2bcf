/** Placeholder. */
package org.shallothook.router;

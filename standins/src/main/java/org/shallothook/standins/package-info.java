/** Placeholder. */
package org.shallothook.standins;

/** Limited block caches and the feed of their changes. */
package org.shallothook.standins.cache;

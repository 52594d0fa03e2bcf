/** Block caches of fixed capacity and the feeds of their changes. */
package org.shallothook.standins.cache;

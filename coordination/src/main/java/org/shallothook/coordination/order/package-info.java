/** Orders to engines: which versions to load and unload, and when. */
package org.shallothook.coordination.order;

/** Cached prompt blocks: the scope of their reuse, their chained keys and an index of them. */
package org.shallothook.state.cache;

/** Identity of cached prompt blocks: who may reuse what, and the chained keys that name it. */
package org.shallothook.state.cache;

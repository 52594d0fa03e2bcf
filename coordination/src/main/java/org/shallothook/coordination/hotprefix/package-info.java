/**
 * Shared prefixes: demand tracking, spread, deduplicated computation, import and export of blocks.
 */
package org.shallothook.coordination.hotprefix;

/** Demand for shared prefixes: spread, single computation, import and export of blocks. */
package org.shallothook.coordination.hotprefix;

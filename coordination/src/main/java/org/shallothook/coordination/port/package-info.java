/**
 * Interfaces through which decision classes reach the core that hosts them, in routers and
 * sidecars.
 */
package org.shallothook.coordination.port;

/**
 * Decisions of a router that passes whole requests on to servers: which route, which server, when
 * to wait, to retry, to resume and to refuse.
 */
package org.shallothook.coordination.forward;

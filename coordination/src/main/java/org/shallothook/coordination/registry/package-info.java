/**
 * Follows the streams of the platform's store in which the newest record of each key counts, and
 * passes what was read on to processes that the store does not serve.
 */
package org.shallothook.coordination.registry;

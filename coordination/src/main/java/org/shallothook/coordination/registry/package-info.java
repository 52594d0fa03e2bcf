/**
 * Follows the streams of the platform's store in which only the newest record of each key counts,
 * and gossips the records to processes that the store refuses.
 */
package org.shallothook.coordination.registry;

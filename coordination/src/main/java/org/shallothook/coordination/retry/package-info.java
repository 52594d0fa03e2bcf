/** Reasons, budget and back-off of retries. */
package org.shallothook.coordination.retry;

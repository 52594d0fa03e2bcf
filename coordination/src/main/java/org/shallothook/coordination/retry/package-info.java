/** Retry reasons, retry budget and back-off. */
package org.shallothook.coordination.retry;

/** Computes tenant prefixes for a new model version before it serves requests. */
package org.shallothook.coordination.warmup;

/** Openings of prompts, computed for a new model version ahead of their callers. */
package org.shallothook.coordination.warmup;

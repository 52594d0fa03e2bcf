/** Choice of upstreams for a prompt: rendezvous hashing on prefix levels, and baselines. */
package org.shallothook.coordination.placement;

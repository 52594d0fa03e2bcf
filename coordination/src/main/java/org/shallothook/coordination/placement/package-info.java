/**
 * Choice of upstreams for a prompt by rendezvous hashing of its prefixes, and baseline policies.
 */
package org.shallothook.coordination.placement;

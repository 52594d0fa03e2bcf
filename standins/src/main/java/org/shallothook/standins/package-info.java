/** Small replacements for the platform and the upstreams, for tests and demonstrations. */
package org.shallothook.standins;

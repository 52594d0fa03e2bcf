/** What a router believes of its peers: who lives, who leaves, who is slow. */
package org.shallothook.coordination.membership;

/** Typed messages of the peer protocol between routers and sidecars. */
package org.shallothook.coordination.message;

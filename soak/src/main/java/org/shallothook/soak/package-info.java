/**
 * Soak test: runs routers and sidecars as separate processes on loopback, injects faults from
 * outside, and checks what callers and servers observe against the guarantees of the system.
 */
package org.shallothook.soak;

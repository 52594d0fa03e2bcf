/**
 * Runs routers and sidecars as processes of their own on loopback, disturbs them from outside, and
 * checks what callers and servers see against what the product promises.
 */
package org.shallothook.soak;

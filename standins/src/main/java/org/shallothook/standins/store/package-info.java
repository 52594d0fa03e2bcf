/** Simulation of the KV-cache store. */
package org.shallothook.standins.store;

/** Simulation of the append-only log. */
package org.shallothook.standins.log;

/** Simulation of the platform's instance list. */
package org.shallothook.standins.instances;

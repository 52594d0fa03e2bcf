/** Simulation of the rate-limited weight store. */
package org.shallothook.standins.weights;

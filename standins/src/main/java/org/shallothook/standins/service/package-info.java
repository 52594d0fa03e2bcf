/** Simulation of a plain service. */
package org.shallothook.standins.service;

/** Simulation of an engine with continuous batching and a prefix cache. */
package org.shallothook.standins.engine;

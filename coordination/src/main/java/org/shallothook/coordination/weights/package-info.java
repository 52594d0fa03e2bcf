/** Brings the weights of one model server to the version that operators want. */
package org.shallothook.coordination.weights;

/** Updates the weights of model servers to the versions that operators want. */
package org.shallothook.coordination.weights;

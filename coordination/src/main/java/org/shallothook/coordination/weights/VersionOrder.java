package org.shallothook.coordination.weights;

import org.shallothook.state.route.WeightVersion;

/**
 * An order to a model server to load a version of a model's weights.
 *
 * <p>Immutable and thread-safe.
 *
 * @param server identity that the server must have
 * @param desired model and version
 * @param holder name of the process that gives the order
 * @param fencingToken fencing token of the holder, greater than that of every earlier holder
 * @param expectedOrders number of orders that the server must have accepted before this one, so
 *     that an order which arrives late has no effect
 */
public record VersionOrder(
    String server, WeightVersion desired, String holder, long fencingToken, long expectedOrders) {}

package org.shallothook.standins.http;

import org.shallothook.state.cache.ModelVersion;

/** Body of an order to an engine, as it is sent. Immutable and thread-safe. */
record OrderBody(long fencing, String order, String model, String version, String adapter) {

  ModelVersion modelVersion() {
    if (model == null || version == null) {
      throw new IllegalArgumentException("Give model and version.");
    }
    return new ModelVersion(model, version, adapter == null ? "" : adapter);
  }

  boolean isLoad() {
    if (!"load".equals(order) && !"unload".equals(order)) {
      throw new IllegalArgumentException("Give load or unload as the order.");
    }
    return order.equals("load");
  }
}

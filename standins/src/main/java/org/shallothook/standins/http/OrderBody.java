package org.shallothook.standins.http;

import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.EngineRole;

/** Body of an order to an engine, as it is sent. Immutable and thread-safe. */
record OrderBody(
    long fencing, String order, String model, String version, String adapter, String role) {

  ModelVersion modelVersion() {
    if (model == null || version == null) {
      throw new IllegalArgumentException("Give model and version.");
    }
    return new ModelVersion(model, version, adapter == null ? "" : adapter);
  }

  boolean isRole() {
    return "role".equals(order);
  }

  EngineRole engineRole() {
    EngineRole ordered = EngineRole.of(role == null ? "" : role);
    if (role == null || ordered == EngineRole.OTHER) {
      throw new IllegalArgumentException("Give mixed or priority as the role.");
    }
    return ordered;
  }

  boolean isLoad() {
    if (!"load".equals(order) && !"unload".equals(order)) {
      throw new IllegalArgumentException("Give load, unload or role as the order.");
    }
    return order.equals("load");
  }
}

package org.shallothook.standins.http;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Locale;
import java.util.Optional;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.standins.instances.InstanceListModel;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;

/** HTTP form of the list of instances. Confined to its event loop. */
public final class InstanceListStandin implements Standin {
  private static final int NOT_MODIFIED = 304;

  private final InstanceListModel model;

  /** Creates the form of a model. */
  public InstanceListStandin(InstanceListModel model) {
    this.model = model;
  }

  @Override
  public void handle(StandinExchange exchange, long nowMicros) {
    if (!exchange.is("GET", "instances")) {
      exchange.answer(404, Json.object("error", "Use GET /instances."));
      return;
    }
    Optional<InstanceList> list = model.read(exchange.number("known", -1), nowMicros);
    if (list.isEmpty()) {
      exchange.answer(NOT_MODIFIED);
    } else {
      exchange.answer(200, jsonOf(list.get()));
    }
  }

  private static JsonObject jsonOf(InstanceList list) {
    JsonArray instances = new JsonArray();
    list.instances().forEach(instance -> instances.add(jsonOf(instance)));
    JsonObject object = Json.object("version", list.version());
    object.add("instances", instances);
    return object;
  }

  private static JsonObject jsonOf(Instance instance) {
    JsonObject object = Json.object("name", instance.name());
    object.addProperty("role", roleName(instance.role()));
    object.addProperty("address", instance.address());
    object.addProperty("failure_domain", instance.failureDomain());
    object.addProperty("region", instance.region());
    object.addProperty("service", instance.service());
    object.addProperty("leaving", instance.isLeaving());
    return object;
  }

  private static String roleName(InstanceRole role) {
    return role.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  @Override
  public InjectedFaults disturbances() {
    return model.disturbances();
  }

  @Override
  public boolean applyFault(String fault, FaultRequest request, long nowMicros) {
    switch (fault) {
      case "leaving" ->
          model.setLeaving(requiredName(request), request.flag("leaving", true), nowMicros);
      case "remove" -> model.remove(requiredName(request), nowMicros);
      default -> {
        return false;
      }
    }
    return true;
  }

  private static String requiredName(FaultRequest request) {
    return request.text("name").orElseThrow(() -> new IllegalArgumentException("Give name."));
  }

  @Override
  public JsonObject state(long nowMicros) {
    JsonObject state = Json.state(model.disturbances());
    state.add("shown", jsonOf(model.publishedAt(nowMicros)));
    return state;
  }
}

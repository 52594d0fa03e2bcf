package org.shallothook.standins.http;

import com.google.gson.JsonObject;
import java.util.OptionalLong;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.standins.weights.WeightStoreModel;

/** HTTP form of the weight store. Confined to its event loop. */
public final class WeightStoreStandin implements Standin {
  private static final int TOO_MANY_REQUESTS = 429;

  private final WeightStoreModel model;

  /** Creates the form of a model. */
  public WeightStoreStandin(WeightStoreModel model) {
    this.model = model;
  }

  @Override
  public void handle(StandinExchange exchange, long nowMicros) {
    if (!exchange.is("GET", "weights", "*", "*")) {
      exchange.answer(404, Json.object("error", "Use GET /weights/MODEL/VERSION."));
      return;
    }
    OptionalLong end = model.begin(nowMicros);
    if (end.isEmpty()) {
      exchange.answer(TOO_MANY_REQUESTS);
      return;
    }
    exchange.delayBy(end.getAsLong() - nowMicros);
    exchange.answer(200, Json.object("weights", exchange.path()));
  }

  @Override
  public InjectedFaults disturbances() {
    return model.disturbances();
  }

  @Override
  public boolean applyFault(String fault, FaultRequest request, long nowMicros) {
    return false;
  }

  @Override
  public JsonObject state(long nowMicros) {
    JsonObject state = Json.state(model.disturbances());
    state.addProperty("fetches", model.fetches());
    state.addProperty("running", model.running(nowMicros));
    state.addProperty("limited", model.refusedOverRate());
    state.addProperty("greatest_concurrent", model.greatestConcurrent());
    return state;
  }
}

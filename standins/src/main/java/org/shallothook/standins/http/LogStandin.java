package org.shallothook.standins.http;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Optional;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.standins.fault.RequestFault;
import org.shallothook.standins.log.AppendResult;
import org.shallothook.standins.log.LogModel;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/** HTTP form of the log. Confined to its event loop. */
public final class LogStandin implements Standin {
  private static final int DEFAULT_PAGE_RECORDS = 1_000;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final LogModel model;

  /** Creates the form of a model. */
  public LogStandin(LogModel model) {
    this.model = model;
  }

  @Override
  public RequestFault fateOf(StandinExchange exchange, long nowMicros) {
    return RequestFault.SERVED;
  }

  @Override
  public void handle(StandinExchange exchange, long nowMicros) {
    if (exchange.is("POST", "streams", "*", "records")) {
      append(exchange, nowMicros);
    } else if (exchange.is("GET", "streams", "*", "records")) {
      read(exchange, nowMicros);
    } else {
      exchange.answer(404, Json.object("error", "Use /streams/STREAM/records."));
    }
  }

  private void append(StandinExchange exchange, long nowMicros) {
    AppendResult answer = model.append(exchange.segment(1), exchange.body(), nowMicros);
    if (answer.fault().isConnectionLost()) {
      exchange.drop();
    } else if (answer.offset().isEmpty()) {
      exchange.answer(SERVICE_UNAVAILABLE);
    } else {
      exchange.answer(200, Json.object("offset", answer.offset().getAsLong()));
    }
  }

  private void read(StandinExchange exchange, long nowMicros) {
    int maximum = (int) exchange.number("max", DEFAULT_PAGE_RECORDS);
    Optional<LogPage> page =
        model.read(exchange.segment(1), exchange.number("from", 0), maximum, nowMicros);
    if (page.isEmpty()) {
      exchange.answer(SERVICE_UNAVAILABLE);
    } else {
      exchange.answer(200, jsonOf(page.get()));
    }
  }

  private static JsonObject jsonOf(LogPage page) {
    JsonArray records = new JsonArray();
    for (LogRecord record : page.records()) {
      records.add(Json.of(record));
    }
    JsonObject object = Json.object("stream", page.stream());
    object.addProperty("first", page.firstRetained());
    object.addProperty("end", page.end());
    object.add("records", records);
    return object;
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
    state.addProperty("over_rate", model.refusedOverRate());
    Json.with(state, "ends", model.endOffsets());
    return Json.with(state, "last", model.lastPayloads());
  }
}

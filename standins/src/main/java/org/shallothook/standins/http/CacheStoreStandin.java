package org.shallothook.standins.http;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.standins.store.CacheStoreModel;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;

/** HTTP form of the KV-cache store. Confined to its event loop. */
public final class CacheStoreStandin implements Standin {
  private static final long RESTART_MICROS = 1_000_000;
  private static final int NO_CONTENT = 204;
  private static final int NOT_FOUND = 404;
  private static final int MAXIMUM_RUNNING = 16;

  private final CacheStoreModel model;
  private long hits;
  private long misses;

  /** Creates the form of a model. */
  public CacheStoreStandin(CacheStoreModel model) {
    this.model = model;
  }

  @Override
  public void handle(StandinExchange exchange, long nowMicros) {
    if (exchange.is("PUT", "blocks", "*")) {
      byte[] body = exchange.body().getBytes(StandardCharsets.UTF_8);
      model.put(identityOf(exchange), BlockKey.fromHex(exchange.segment(1)), body, nowMicros);
      exchange.answer(NO_CONTENT);
    } else if (exchange.is("GET", "blocks", "*") || exchange.is("HEAD", "blocks", "*")) {
      get(exchange);
    } else if (exchange.is("GET", "v1", "status")) {
      exchange.answer(200, status());
    } else if (exchange.is("GET", "v1", "cache", "changes")) {
      long from = exchange.number("from", 0);
      exchange.answer(200, Json.changes(model.incarnation(), model.feed().read(from, nowMicros)));
    } else if (exchange.is("GET", "v1", "cache", "blocks")) {
      exchange.answer(
          200, Json.blocks(model.incarnation(), model.feed().nextSequence(), model.keys()));
    } else {
      exchange.answer(NOT_FOUND, Json.object("error", "Use /blocks/KEY or GET /v1/status."));
    }
  }

  private void get(StandinExchange exchange) {
    model
        .get(identityOf(exchange), BlockKey.fromHex(exchange.segment(1)))
        .ifPresentOrElse(
            body -> {
              hits++;
              exchange.answer(200, "application/octet-stream", body);
            },
            () -> {
              misses++;
              exchange.answer(NOT_FOUND);
            });
  }

  private static CacheIdentity identityOf(StandinExchange exchange) {
    ModelVersion version =
        new ModelVersion(
            required(exchange, "model"),
            required(exchange, "version"),
            exchange.parameter("adapter").orElse(""));
    return new CacheIdentity(required(exchange, "team"), version);
  }

  private static String required(StandinExchange exchange, String name) {
    return exchange
        .parameter(name)
        .orElseThrow(() -> new IllegalArgumentException("Give " + name + "."));
  }

  private JsonObject status() {
    JsonObject status = Json.object("incarnation", model.incarnation());
    status.add("models", new JsonArray());
    status.addProperty("running", 0);
    status.addProperty("maximum_running", MAXIMUM_RUNNING);
    status.addProperty("last_fencing", -1);
    status.addProperty("leaving", false);
    return status;
  }

  @Override
  public InjectedFaults disturbances() {
    return model.disturbances();
  }

  @Override
  public boolean applyFault(String fault, FaultRequest request, long nowMicros) {
    if (!fault.equals("crash")) {
      return false;
    }
    model.restartEmpty();
    model.disturbances().setDownUntil(nowMicros + RESTART_MICROS);
    return true;
  }

  @Override
  public JsonObject state(long nowMicros) {
    JsonObject state = Json.state(model.disturbances());
    state.addProperty("blocks", model.keys().size());
    state.addProperty("hits", hits);
    state.addProperty("misses", misses);
    return state;
  }
}

package org.shallothook.standins.http;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.standins.engine.EngineListener;
import org.shallothook.standins.engine.EngineModel;
import org.shallothook.standins.engine.EngineRequest;
import org.shallothook.standins.engine.OrderResult;
import org.shallothook.standins.engine.StartResult;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;

/** HTTP form of an engine. Confined to its event loop. */
public final class EngineStandin implements Standin, EngineListener {
  private static final int NO_CONTENT = 204;

  private final EngineModel model;
  private final StandinClient client;
  private final StandinClock clock;
  private final Optional<InetSocketAddress> weightStore;
  private final Map<String, StandinExchange> streams = new HashMap<>();

  /**
   * Creates the form of a model.
   *
   * @param weightStore address of the weight store; without one, weights are there at once
   */
  public EngineStandin(
      EngineModel model,
      StandinClient client,
      StandinClock clock,
      Optional<InetSocketAddress> weightStore) {
    this.model = model;
    this.client = client;
    this.clock = clock;
    this.weightStore = weightStore;
  }

  @Override
  public void handle(StandinExchange exchange, long nowMicros) {
    if (exchange.is("POST", "v1", "completions")) {
      start(exchange, nowMicros);
    } else if (exchange.is("DELETE", "v1", "completions", "*")) {
      cancel(exchange, nowMicros);
    } else if (exchange.is("GET", "v1", "status")) {
      exchange.answer(200, status(nowMicros));
    } else if (exchange.is("GET", "v1", "cache", "changes")) {
      long from = exchange.number("from", 0);
      exchange.answer(200, Json.changes(model.incarnation(), model.cacheChanges(from, nowMicros)));
    } else if (exchange.is("GET", "v1", "cache", "blocks")) {
      exchange.answer(
          200, Json.blocks(model.incarnation(), model.nextCacheSequence(), model.cachedKeys()));
    } else if (exchange.is("POST", "v1", "orders")) {
      order(exchange, nowMicros);
    } else if (exchange.is("POST", "v1", "cache", "export")) {
      export(exchange);
    } else if (exchange.is("POST", "v1", "cache", "import")) {
      importBlocks(exchange);
    } else {
      exchange.answer(404, Json.object("error", "Use the paths of docs/PLATFORM.md."));
    }
  }

  private void start(StandinExchange exchange, long nowMicros) {
    EngineRequest request = Json.parse(exchange.body(), CompletionBody.class).toRequest();
    Optional.ofNullable(streams.remove(request.id())).ifPresent(StandinExchange::drop);
    StartResult result = model.start(request, nowMicros);
    if (result != StartResult.STARTED) {
      exchange.answer(result.status(), Json.object("error", result.name()));
      return;
    }
    streams.put(request.id(), exchange);
    exchange.whenClosed(() -> abandon(request.id(), exchange));
    exchange.whenWritable(isWritable -> model.setPaused(request.id(), !isWritable));
    exchange.beginEvents();
  }

  private void abandon(String id, StandinExchange exchange) {
    if (streams.remove(id, exchange)) {
      model.cancel(id, clock.nowMicros());
    }
  }

  private void cancel(StandinExchange exchange, long nowMicros) {
    String id = exchange.segment(2);
    model.cancel(id, nowMicros);
    Optional.ofNullable(streams.remove(id)).ifPresent(StandinExchange::drop);
    exchange.answer(NO_CONTENT);
  }

  private JsonObject status(long nowMicros) {
    JsonObject status = Json.object("incarnation", model.incarnation());
    status.add("models", Json.versions(model.loaded()));
    status.addProperty("running", model.reportedRunning(nowMicros));
    status.addProperty("maximum_running", model.settings().maximumRunning());
    status.addProperty("last_fencing", model.lastFencing());
    status.addProperty("leaving", model.isLeaving());
    status.addProperty("role", model.role().code());
    return status;
  }

  private void order(StandinExchange exchange, long nowMicros) {
    OrderBody body = Json.parse(exchange.body(), OrderBody.class);
    if (body.isRole()) {
      OrderResult result = model.orderRole(body.fencing(), body.engineRole());
      exchange.answer(result.status(), Json.object("order", result.name()));
      return;
    }
    ModelVersion version = body.modelVersion();
    OrderResult result =
        body.isLoad()
            ? model.orderLoad(body.fencing(), version)
            : model.orderUnload(body.fencing(), version, nowMicros);
    if (result == OrderResult.FETCH_WEIGHTS) {
      fetchWeights(version);
    }
    exchange.answer(result.status(), Json.object("order", result.name()));
  }

  private void fetchWeights(ModelVersion version) {
    if (weightStore.isEmpty()) {
      model.finishLoad(version, true);
      return;
    }
    client.fetchWeights(
        weightStore.get(), version, hasWeights -> model.finishLoad(version, hasWeights));
  }

  private void export(StandinExchange exchange) {
    TransferBody body = Json.parse(exchange.body(), TransferBody.class);
    CacheIdentity identity = body.identity();
    List<BlockKey> keys = model.exportBlocks(identity, body.blockKeys());
    exportFrom(exchange, body, keys, 0, new ArrayList<>());
  }

  private void exportFrom(
      StandinExchange exchange,
      TransferBody body,
      List<BlockKey> keys,
      int index,
      List<BlockKey> done) {
    if (index == keys.size()) {
      exchange.answer(200, Json.object("keys", Json.keys(done)));
      return;
    }
    BlockKey key = keys.get(index);
    client.putBlock(
        body.store(),
        body.identity(),
        key,
        isTaken -> {
          if (isTaken) {
            done.add(key);
          }
          exportFrom(exchange, body, keys, index + 1, done);
        });
  }

  private void importBlocks(StandinExchange exchange) {
    TransferBody body = Json.parse(exchange.body(), TransferBody.class);
    importFrom(exchange, body, body.blockKeys(), 0);
  }

  private void importFrom(
      StandinExchange exchange, TransferBody body, List<BlockKey> keys, int index) {
    if (index == keys.size()) {
      storeImported(exchange, body.identity(), keys);
      return;
    }
    client.getBlock(
        body.store(),
        body.identity(),
        keys.get(index),
        isThere -> {
          if (isThere) {
            importFrom(exchange, body, keys, index + 1);
          } else {
            storeImported(exchange, body.identity(), keys.subList(0, index));
          }
        });
  }

  private void storeImported(
      StandinExchange exchange, CacheIdentity identity, List<BlockKey> keys) {
    List<BlockKey> stored = model.importBlocks(identity, keys, clock.nowMicros());
    exchange.answer(200, Json.object("keys", Json.keys(stored)));
  }

  @Override
  public void token(String id, int position, String text, long atMicros) {
    StandinExchange exchange = streams.get(id);
    if (exchange == null) {
      return;
    }
    JsonObject event = Json.object("position", position);
    event.addProperty("count", 1);
    event.addProperty("text", text);
    exchange.event(event.toString());
  }

  @Override
  public void ended(String id, int position, String finishReason, int cachedBlocks, long atMicros) {
    StandinExchange exchange = streams.remove(id);
    if (exchange == null) {
      return;
    }
    JsonObject event = Json.object("finish_reason", finishReason);
    event.addProperty("position", position);
    event.addProperty("cached_blocks", cachedBlocks);
    exchange.event(event.toString());
    exchange.event("[DONE]");
    exchange.endEvents();
  }

  @Override
  public void lost(String id, long atMicros) {
    Optional.ofNullable(streams.remove(id)).ifPresent(StandinExchange::drop);
  }

  @Override
  public InjectedFaults disturbances() {
    return model.disturbances();
  }

  @Override
  public boolean isDown(long nowMicros) {
    return model.isDown() || model.disturbances().isDown(nowMicros);
  }

  @Override
  public void advance(long nowMicros) {
    model.advanceTo(nowMicros, this);
  }

  @Override
  public long nextEventMicros() {
    return model.nextEventMicros();
  }

  @Override
  public boolean applyFault(String fault, FaultRequest request, long nowMicros) {
    switch (fault) {
      case "crash" -> model.crash(nowMicros, this);
      case "slow" -> model.setSlowFactor(request.fraction("factor", 1));
      case "gap" -> model.omitCacheChanges(request.number("count", 1));
      case "leaving" -> model.setLeaving(request.flag("leaving", true));
      default -> {
        return false;
      }
    }
    return true;
  }

  @Override
  public JsonObject state(long nowMicros) {
    JsonObject state = Json.state(model.disturbances());
    state.addProperty("incarnation", model.incarnation());
    state.addProperty("running", model.running());
    state.addProperty("cached_blocks", model.cachedKeys().size());
    Json.of(model.counters()).getAsJsonObject().asMap().forEach(state::add);
    JsonObject computedBlocks = new JsonObject();
    model.computedBlocks().forEach((key, times) -> computedBlocks.addProperty(key.toHex(), times));
    state.add("computed_blocks", computedBlocks);
    return state;
  }
}

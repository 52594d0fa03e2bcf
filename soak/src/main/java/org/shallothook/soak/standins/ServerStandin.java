package org.shallothook.soak.standins;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for a model server, whose weights can be changed by orders, or for a plain server. It
 * publishes its registry entry in the store with each heartbeat.
 *
 * <p>Invariant: each request is recorded in the {@link ExecutionLog} before the first byte of its
 * response is sent. Runs on the event loop; public methods are thread-safe unless stated otherwise.
 */
public final class ServerStandin {
  /** Name of the only model. */
  public static final String MODEL = "linen-model";

  /** Name of the service of the model servers. */
  public static final String MODEL_SERVICE = "models";

  /** Name of the service of the plain servers. */
  public static final String PLAIN_SERVICE = "bookings";

  private static final long HEARTBEAT_MILLIS = 600;
  private static final long WEIGHT_LOAD_MILLIS = 400;
  private static final long EVENT_INTERVAL_MILLIS = 12;
  private static final long RESPONSE_DELAY_MILLIS = 25;
  private static final int SLOTS = 32;

  private final EventLoopGroup loop;
  private final StoreStandin store;
  private final ExecutionLog executionLog;
  private final SplittableRandom random;
  private final String service;
  private final HttpStandin http;
  private final FaultProxy link;
  private String id;
  private long startedAtMillis;
  private long heartbeats;
  private long version = 1;
  private long acceptedOrders;
  private long highestFencingToken;
  private boolean isLoadingWeights;
  private Optional<Long> leavesAtNanos = Optional.empty();
  private Optional<ResponseFault> fault = Optional.empty();
  private double faultShare;

  /** Starts a server and publishes its registry entry. */
  public ServerStandin(
      EventLoopGroup loop,
      StoreStandin store,
      ExecutionLog executionLog,
      String service,
      String id,
      long seed) {
    this.loop = loop;
    this.store = store;
    this.executionLog = executionLog;
    this.service = service;
    this.id = id;
    this.random = new SplittableRandom(seed);
    this.startedAtMillis = System.currentTimeMillis();
    this.http = new HttpStandin(loop, this::handle);
    this.link = new FaultProxy(loop, http.address());
    loop.execute(this::sendHeartbeat);
  }

  /** Returns the address at which routers and sidecars reach the server. */
  public InetSocketAddress address() {
    return link.address();
  }

  /** Returns the link over which routers and sidecars reach the server. */
  public FaultProxy link() {
    return link;
  }

  /** Sets the fault of the given share of responses from now on; empty removes it. */
  public void setResponseFault(Optional<ResponseFault> newFault, double share) {
    loop.execute(
        () -> {
          fault = newFault;
          faultShare = share;
        });
  }

  /** Announces that the server is leaving; it returns as a new server at the same address. */
  public void leave(long returnDelayMillis) {
    loop.execute(
        () -> {
          leavesAtNanos = Optional.of(System.nanoTime());
          publishEntry();
          var unused = loop.schedule(() -> restart(true), returnDelayMillis, TimeUnit.MILLISECONDS);
        });
  }

  /** Crashes and restarts with the same id; only its weights survive. */
  public void crash() {
    loop.execute(
        () -> {
          link.resetAll();
          restart(false);
        });
  }

  /** Returns the version of the weights. Must be called on the event loop. */
  public long version() {
    return version;
  }

  private void restart(boolean isNew) {
    startedAtMillis = System.currentTimeMillis();
    leavesAtNanos = Optional.empty();
    acceptedOrders = 0;
    highestFencingToken = 0;
    isLoadingWeights = false;
    if (isNew) {
      store.put("keyed.servers", id, "");
      id = id.replaceAll("-\\d+$", "") + "-" + startedAtMillis % 1_000_000;
    }
    publishEntry();
  }

  private void sendHeartbeat() {
    publishEntry();
    var unused = loop.schedule(this::sendHeartbeat, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void publishEntry() {
    JsonObject entry = new JsonObject();
    entry.addProperty("service", service);
    entry.addProperty("address", "127.0.0.1:" + address().getPort());
    entry.addProperty("zone", "domain-a");
    entry.addProperty("slots", SLOTS);
    entry.addProperty("state", leavesAtNanos.isPresent() ? "draining" : "ready");
    entry.addProperty("sequence", ++heartbeats);
    entry.addProperty("born", startedAtMillis);
    if (service.equals(MODEL_SERVICE)) {
      entry.add("models", models());
    }
    store.put("keyed.servers", id, entry.toString());
  }

  private JsonArray models() {
    JsonObject model = new JsonObject();
    model.addProperty("name", MODEL);
    model.addProperty("version", version);
    JsonArray models = new JsonArray();
    models.add(model);
    return models;
  }

  private void handle(StandinRequest call) {
    if (call.is("GET", "/v1/report")) {
      report(call);
    } else if (call.is("POST", "/v1/order")) {
      changeWeights(call);
    } else {
      serve(call);
    }
  }

  private void report(StandinRequest call) {
    JsonObject report = new JsonObject();
    report.add("models", models());
    report.addProperty("busy", isLoadingWeights);
    report.addProperty("sequence", acceptedOrders);
    report.addProperty("queued_requests", 0);
    report.addProperty("active_requests", 0);
    report.addProperty("born", startedAtMillis);
    call.respondJson(200, report);
  }

  private void changeWeights(StandinRequest call) {
    JsonObject order =
        JsonParser.parseString(new String(call.body(), StandardCharsets.UTF_8)).getAsJsonObject();
    long fencingToken = order.get("fencing_token").getAsLong();
    long orderedVersion = order.get("version").getAsLong();
    if (isForOtherInstance(call)) {
      call.respondJson(421, new JsonObject());
    } else if (fencingToken < highestFencingToken) {
      call.respondJson(412, new JsonObject());
    } else if (orderedVersion == version) {
      call.respondJson(200, new JsonObject());
    } else if (isLoadingWeights || order.get("expect").getAsLong() != acceptedOrders) {
      call.respondJson(409, new JsonObject());
    } else {
      if (orderedVersion < version) {
        executionLog.recordViolation(
            "weights are never downgraded",
            id + " was ordered from " + version + " to " + orderedVersion);
      }
      highestFencingToken = fencingToken;
      acceptedOrders++;
      isLoadingWeights = true;
      call.respondJson(202, new JsonObject());
      call.schedule(
          WEIGHT_LOAD_MILLIS,
          () -> {
            version = orderedVersion;
            isLoadingWeights = false;
            publishEntry();
          });
    }
  }

  private boolean isForOtherInstance(StandinRequest call) {
    return call.header(StandinHeaders.EXPECTED_INSTANCE).filter(id::equals).isEmpty();
  }

  private void serve(StandinRequest call) {
    String request = call.header(StandinHeaders.REQUEST_ID).orElse("");
    boolean isOtherVersion =
        call.header(StandinHeaders.EXPECTED_VERSION)
            .filter(expected -> !expected.equals(Long.toString(version)))
            .isPresent();
    if (isForOtherInstance(call) || isOtherVersion) {
      call.respond(
          421, Map.of(StandinHeaders.NOT_EXECUTED, "1", StandinHeaders.INSTANCE, id), new byte[0]);
      return;
    }
    if (isLoadingWeights) {
      call.respond(503, Map.of(StandinHeaders.NOT_EXECUTED, "1"), new byte[0]);
      return;
    }
    checkNotLeaving(request);
    executionLog.recordExecution(request, id);
    long lastEvent = call.header(StandinHeaders.LAST_EVENT_ID).map(Long::parseLong).orElse(0L);
    boolean isStream = service.equals(MODEL_SERVICE);
    boolean isFaulty = fault.isPresent() && random.nextDouble() < faultShare;
    String response =
        isStream
            ? streamHeaders(request) + ExpectedResponse.chunksAfter(request, lastEvent)
            : plainResponse(request);
    if (isFaulty) {
      fault.get().respond(call, response);
    } else if (isStream) {
      call.write(streamHeaders(request));
      writeEvents(call, request, lastEvent);
    } else {
      call.schedule(RESPONSE_DELAY_MILLIS, () -> call.write(response));
    }
  }

  private void checkNotLeaving(String request) {
    // leave-millis plus time for registry reads, a paused process and an outage of the store.
    long allowedNanos = TimeUnit.SECONDS.toNanos(7);
    if (leavesAtNanos.filter(since -> System.nanoTime() - since > allowedNanos).isPresent()) {
      executionLog.recordViolation(
          "no new request to a leaving server", request + " reached " + id);
    }
  }

  private void writeEvents(StandinRequest call, String request, long lastEvent) {
    List<String> chunks = ExpectedResponse.chunkListAfter(request, lastEvent);
    for (int index = 0; index < chunks.size(); index++) {
      String chunk = chunks.get(index);
      call.schedule(index * EVENT_INTERVAL_MILLIS, () -> call.write(chunk));
    }
  }

  private Map<String, String> headers(String request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put(StandinHeaders.REQUEST_ID, request);
    headers.put(StandinHeaders.SIGNATURE, id + "." + request);
    headers.put("Keep-Alive", "timeout=20");
    if (leavesAtNanos.isPresent()) {
      headers.put(StandinHeaders.LEAVING, "1");
    }
    return headers;
  }

  private String streamHeaders(String request) {
    Map<String, String> headers = headers(request);
    headers.put(StandinHeaders.WEIGHT_VERSION, Long.toString(version));
    headers.put("Content-Type", "text/event-stream");
    headers.put("Transfer-Encoding", "chunked");
    return StandinRequest.head(200, headers) + "\r\n";
  }

  private String plainResponse(String request) {
    String body = ExpectedResponse.plainBody(request);
    return StandinRequest.head(200, headers(request))
        .append("Content-Length: ")
        .append(body.length())
        .append("\r\n\r\n")
        .append(body)
        .toString();
  }
}

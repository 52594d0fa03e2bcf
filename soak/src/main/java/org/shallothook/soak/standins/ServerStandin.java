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
 * A server of either service: a model server, which takes orders to change its weights, or a plain
 * one. It lists itself in the store with heartbeats.
 *
 * <p>Invariant: each request that it begins to work on is in the ledger before a byte of its answer
 * leaves. Runs on the loop; public methods are thread-safe.
 */
public final class ServerStandin {
  /** The one model. */
  public static final String MODEL = "linen-model";

  /** Service of the model servers. */
  public static final String MODELS = "models";

  /** Service of the plain servers. */
  public static final String BOOKINGS = "bookings";

  private static final long HEARTBEAT_MILLIS = 600;
  private static final long LOAD_MILLIS = 400;
  private static final long EVENT_GAP_MILLIS = 12;
  private static final long WORK_MILLIS = 25;
  private static final int SLOTS = 32;

  private final EventLoopGroup loop;
  private final StoreStandin store;
  private final Ledger ledger;
  private final SplittableRandom random;
  private final String service;
  private final HttpStandin http;
  private final FaultProxy link;
  private String id;
  private long startedAtMillis;
  private long heartbeats;
  private long version = 1;
  private long acceptedOrders;
  private long highestFence;
  private boolean isBusy;
  private Optional<Long> leavesAtNanos = Optional.empty();
  private Optional<AnswerFault> fault = Optional.empty();
  private double faultShare;

  /** Starts a server and lists it. */
  public ServerStandin(
      EventLoopGroup loop,
      StoreStandin store,
      Ledger ledger,
      String service,
      String id,
      long seed) {
    this.loop = loop;
    this.store = store;
    this.ledger = ledger;
    this.service = service;
    this.id = id;
    this.random = new SplittableRandom(seed);
    this.startedAtMillis = System.currentTimeMillis();
    this.http = new HttpStandin(loop, this::handle);
    this.link = new FaultProxy(loop, http.address());
    loop.execute(this::beat);
  }

  /** Returns where processes reach the server. */
  public InetSocketAddress address() {
    return link.address();
  }

  /** Returns the link that processes reach the server over. */
  public FaultProxy link() {
    return link;
  }

  /** Spoils a share of the answers from now on. */
  public void spoil(Optional<AnswerFault> newFault, double share) {
    loop.execute(
        () -> {
          fault = newFault;
          faultShare = share;
        });
  }

  /** Says that it leaves; comes back later as a new server at the same address. */
  public void leave(long backAfterMillis) {
    loop.execute(
        () -> {
          leavesAtNanos = Optional.of(System.nanoTime());
          list();
          var unused = loop.schedule(() -> restart(true), backAfterMillis, TimeUnit.MILLISECONDS);
        });
  }

  /** Crashes and starts again under its id, with nothing of before but its weights. */
  public void crash() {
    loop.execute(
        () -> {
          link.resetAll();
          restart(false);
        });
  }

  /** Returns the version of its weights. Asked for on the loop. */
  public long version() {
    return version;
  }

  private void restart(boolean isNew) {
    startedAtMillis = System.currentTimeMillis();
    leavesAtNanos = Optional.empty();
    acceptedOrders = 0;
    highestFence = 0;
    isBusy = false;
    if (isNew) {
      store.put("keyed.servers", id, "");
      id = id.replaceAll("-\\d+$", "") + "-" + startedAtMillis % 1_000_000;
    }
    list();
  }

  private void beat() {
    list();
    var unused = loop.schedule(this::beat, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void list() {
    JsonObject entry = new JsonObject();
    entry.addProperty("service", service);
    entry.addProperty("address", "127.0.0.1:" + address().getPort());
    entry.addProperty("zone", "domain-a");
    entry.addProperty("slots", SLOTS);
    entry.addProperty("state", leavesAtNanos.isPresent() ? "draining" : "ready");
    entry.addProperty("sequence", ++heartbeats);
    entry.addProperty("born", startedAtMillis);
    if (service.equals(MODELS)) {
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

  private void handle(HttpCall call) {
    if (call.is("GET", "/v1/report")) {
      report(call);
    } else if (call.is("POST", "/v1/order")) {
      order(call);
    } else {
      serve(call);
    }
  }

  private void report(HttpCall call) {
    JsonObject report = new JsonObject();
    report.add("models", models());
    report.addProperty("busy", isBusy);
    report.addProperty("sequence", acceptedOrders);
    report.addProperty("queued_requests", 0);
    report.addProperty("active_requests", 0);
    report.addProperty("born", startedAtMillis);
    call.answerJson(200, report);
  }

  private void order(HttpCall call) {
    JsonObject order =
        JsonParser.parseString(new String(call.body(), StandardCharsets.UTF_8)).getAsJsonObject();
    long fence = order.get("fencing_token").getAsLong();
    long wanted = order.get("version").getAsLong();
    if (isForAnother(call)) {
      call.answerJson(421, new JsonObject());
    } else if (fence < highestFence) {
      call.answerJson(412, new JsonObject());
    } else if (wanted == version) {
      call.answerJson(200, new JsonObject());
    } else if (isBusy || order.get("expect").getAsLong() != acceptedOrders) {
      call.answerJson(409, new JsonObject());
    } else {
      if (wanted < version) {
        ledger.violated(
            "weights never go back", id + " was ordered from " + version + " to " + wanted);
      }
      highestFence = fence;
      acceptedOrders++;
      isBusy = true;
      call.answerJson(202, new JsonObject());
      call.after(
          LOAD_MILLIS,
          () -> {
            version = wanted;
            isBusy = false;
            list();
          });
    }
  }

  private boolean isForAnother(HttpCall call) {
    return call.header(PlatformHeaders.EXPECTED_INSTANCE).filter(id::equals).isEmpty();
  }

  private void serve(HttpCall call) {
    String request = call.header(PlatformHeaders.REQUEST_ID).orElse("");
    boolean isOtherVersion =
        call.header(PlatformHeaders.EXPECTED_VERSION)
            .filter(expected -> !expected.equals(Long.toString(version)))
            .isPresent();
    if (isForAnother(call) || isOtherVersion) {
      call.answer(
          421, Map.of(PlatformHeaders.NOT_RUN, "1", PlatformHeaders.INSTANCE, id), new byte[0]);
      return;
    }
    if (isBusy) {
      call.answer(503, Map.of(PlatformHeaders.NOT_RUN, "1"), new byte[0]);
      return;
    }
    checkLeaving(request);
    ledger.ran(request, id);
    long after = call.header(PlatformHeaders.LAST_EVENT).map(Long::parseLong).orElse(0L);
    boolean isStream = service.equals(MODELS);
    boolean isSpoiled = fault.isPresent() && random.nextDouble() < faultShare;
    String whole =
        isStream
            ? streamHead(request) + ExpectedAnswer.chunksAfter(request, after)
            : plain(request);
    if (isSpoiled) {
      fault.get().answer(call, whole);
    } else if (isStream) {
      call.write(streamHead(request));
      writeEvents(call, request, after);
    } else {
      call.after(WORK_MILLIS, () -> call.write(whole));
    }
  }

  private void checkLeaving(String request) {
    // Room for the processes' reads, a pause and an outage of the store on top of the bound.
    long allowedNanos = TimeUnit.SECONDS.toNanos(7);
    if (leavesAtNanos.filter(since -> System.nanoTime() - since > allowedNanos).isPresent()) {
      ledger.violated("nothing new to a leaving server", request + " reached " + id);
    }
  }

  private void writeEvents(HttpCall call, String request, long after) {
    List<String> chunks = ExpectedAnswer.chunkListAfter(request, after);
    for (int index = 0; index < chunks.size(); index++) {
      String chunk = chunks.get(index);
      call.after(index * EVENT_GAP_MILLIS, () -> call.write(chunk));
    }
  }

  private Map<String, String> headers(String request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put(PlatformHeaders.REQUEST_ID, request);
    headers.put(PlatformHeaders.SIGNATURE, id + "." + request);
    headers.put("Keep-Alive", "timeout=20");
    if (leavesAtNanos.isPresent()) {
      headers.put(PlatformHeaders.LEAVING, "1");
    }
    return headers;
  }

  private String streamHead(String request) {
    Map<String, String> headers = headers(request);
    headers.put(PlatformHeaders.WEIGHT_VERSION, Long.toString(version));
    headers.put("Content-Type", "text/event-stream");
    headers.put("Transfer-Encoding", "chunked");
    return HttpCall.head(200, headers) + "\r\n";
  }

  private String plain(String request) {
    String body = ExpectedAnswer.plain(request);
    return HttpCall.head(200, headers(request))
        .append("Content-Length: ")
        .append(body.length())
        .append("\r\n\r\n")
        .append(body)
        .toString();
  }
}

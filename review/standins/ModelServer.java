import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a model server that generates a fixed number of events for each request. */
final class ModelServer {
  static final int EVENTS = 13;
  private static final long EVENT_MILLIS = 50;
  private static final int SLOTS = 64;

  /** An order that has arrived, and the machine that it came from. */
  record Order(long atMillis, String holder, long fencingToken) {}

  /** A cached part and the request that made it. */
  private record Part(String tenant, String request) {}

  private static final Map<String, ModelServer> BY_ADDRESS = new ConcurrentHashMap<>();

  final String id;

  /** Uses of parts that a request of another tenant has made, while one of them is isolated. */
  final AtomicInteger foreignUses = new AtomicInteger();

  /** All orders that have arrived, whatever the answer. */
  final List<Order> received = new CopyOnWriteArrayList<>();

  private final Map<String, Part> cache = new ConcurrentHashMap<>();
  private final Rig rig;
  private final String zone;
  private final ServerSocket listening;
  private final long born = System.currentTimeMillis();
  private final AtomicInteger active = new AtomicInteger();
  private volatile long version = 1;
  private volatile long orders;
  private volatile boolean isBusy;
  private volatile boolean hasLeft;
  private long highestToken;
  private volatile String preempted = "";
  private volatile long pauseMillis;
  private volatile int pauseAfter;
  private String state = "ready";
  private long beats;

  ModelServer(Rig rig, String id, String zone) throws IOException {
    this(rig, id, zone, Wire.LOOPBACK);
  }

  ModelServer(Rig rig, String id, String zone, String ip) throws IOException {
    this.rig = rig;
    this.id = id;
    this.zone = zone;
    this.listening = Wire.listen(ip);
    BY_ADDRESS.put(address(), this);
  }

  /** Starts to serve and to send heartbeats. */
  ModelServer start() {
    rig.thread("server", () -> Wire.accept(listening, rig, this::serve));
    rig.thread(
        "heartbeat",
        () -> {
          while (true) {
            beat();
            Rig.sleep(1_200);
          }
        });
    return this;
  }

  String address() {
    return Wire.address(listening);
  }

  /**
   * Preempts the run of a request once, after so many events, and reads it in again later: memory
   * has run out, and the request is the newest of the least urgent ones.
   */
  void preempt(String request, int afterEvents, long millis) {
    preempted = request;
    pauseAfter = afterEvents;
    pauseMillis = millis;
  }

  /** Reports that the server leaves, and removes its entry after drain_ms. */
  void leave() {
    synchronized (this) {
      state = "draining";
      beat();
      rig.log(id + " is draining");
    }
    Rig.sleep(2_000);
    synchronized (this) {
      hasLeft = true;
      rig.store.put("keyed.servers", id, "");
      rig.log(id + " has left");
    }
  }

  private synchronized void beat() {
    if (hasLeft) {
      return;
    }
    beats++;
    rig.store.put(
        "keyed.servers",
        id,
        "{\"service\":\"llm\",\"address\":\""
            + address()
            + "\",\"zone\":\""
            + zone
            + "\",\"version\":\"v1\",\"slots\":"
            + SLOTS
            + ",\"state\":\""
            + state
            + "\",\"cold_remaining_ms\":0,\"sequence\":"
            + beats
            + ",\"born\":"
            + born
            + ",\"stage\":\"colocated\",\"models\":"
            + models()
            + "}");
  }

  private String models() {
    return "[{\"name\":\"" + Rig.MODEL + "\",\"version\":" + version + ",\"adapters\":[]}]";
  }

  private void serve(Socket socket) throws IOException {
    Wire wire = new Wire(socket);
    Wire.Message call = wire.read();
    boolean isOpen = true;
    while (call != null && isOpen) {
      if (call.path().equals("/v1/report")) {
        report(wire);
      } else if (call.path().equals("/v1/order")) {
        order(wire, call);
      } else {
        isOpen = run(wire, call);
      }
      call = isOpen ? wire.read() : null;
    }
  }

  private void report(Wire wire) throws IOException {
    String report =
        "{\"stage\":\"colocated\",\"models\":"
            + models()
            + ",\"busy\":"
            + isBusy
            + ",\"sequence\":"
            + orders
            + ",\"queued_requests\":0,\"active_requests\":"
            + active.get()
            + ",\"runs\":["
            + String.join(",", Collections.nCopies(active.get(), "[\"r\",9190,1,5]"))
            + "],\"kv_cache_used\":41000,\"kv_cache_total\":103239,\"handles\":0,\"born\":"
            + born
            + "}";
    wire.respond(200, "application/json", report.getBytes());
  }

  private void order(Wire wire, Wire.Message call) throws IOException {
    String body = new String(call.body);
    String holder = body.replaceAll(".*\"holder\":\"([^\"]*)\".*", "$1");
    long token = number(body, "fencing_token");
    received.add(new Order(rig.millis(), holder, token));
    int status = answerTo(body, token, number(body, "version"));
    rig.log(id + ": order " + body + " -> " + status);
    wire.respond(status, "application/json", "{}".getBytes());
  }

  private static long number(String body, String field) {
    return Long.parseLong(body.replaceAll(".*\"" + field + "\":(\\d+).*", "$1"));
  }

  /** Answers an order as the pages say for servers that check fencing tokens. */
  private synchronized int answerTo(String body, long token, long wanted) {
    if (token < highestToken) {
      return 412;
    }
    highestToken = token;
    if (wanted <= version) {
      return 200;
    }
    if (isBusy || number(body, "expect") != orders) {
      return 409;
    }
    orders++;
    isBusy = true;
    rig.thread(
        "load",
        () -> {
          Rig.sleep(600);
          version = wanted;
          isBusy = false;
          beat();
        });
    return 202;
  }

  /** Reads a prompt: takes the leading parts that are cached under its salt, and caches the rest. */
  private void prefill(Wire.Message call, String request) {
    String salt = call.header("X-Shallothook-Cache-Salt");
    String tenant = call.header("X-Shallothook-Tenant-Name");
    ModelServer source = BY_ADDRESS.get(call.header("X-Shallothook-Kv-Fetch-From"));
    boolean isLeading = true;
    for (String entry : call.header("X-Shallothook-Prompt-Prefix").split(",")) {
      String key = salt + "|" + call.header("X-Shallothook-Model") + "|" + entry.split(":")[0];
      Part cached = cache.get(key);
      if (cached == null && source != null) {
        cached = source.cache.get(key);
      }
      if (isLeading && cached != null) {
        cache.put(key, cached);
        boolean isOther = !cached.tenant().equals(tenant);
        boolean isForeign = isOther && rig.isIsolated;
        rig.log(
            id
                + ": "
                + request
                + " of "
                + tenant
                + " uses part "
                + key
                + " made by "
                + cached.request()
                + " of "
                + cached.tenant());
        foreignUses.addAndGet(isForeign ? 1 : 0);
      } else {
        isLeading = false;
        cache.put(key, new Part(tenant, request));
      }
    }
  }

  /** Runs a request; returns false when the connection has ended. */
  private boolean run(Wire wire, Wire.Message call) throws IOException {
    String request = call.header("X-Shallothook-Request-Id");
    String expected = call.header("X-Shallothook-Expected-Version");
    boolean isOther =
        !call.header("X-Shallothook-Expected-Instance").equals(id)
            || (!expected.isEmpty() && !expected.equals(Long.toString(version)));
    if (isOther) {
      wire.respond(
          421,
          "text/plain",
          new byte[0],
          "X-Shallothook-Request-Id: " + request,
          "X-Shallothook-Instance-Id: " + id,
          "X-Shallothook-Not-Executed: 1");
      return true;
    }
    String last = call.header("Last-Event-Id");
    int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    rig.log(id + ": runs " + request + " from event " + first);
    prefill(call, request);
    active.incrementAndGet();
    try {
      wire.write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
              + "Keep-Alive: timeout=20\r\nX-Shallothook-Request-Id: "
              + request
              + "\r\nX-Shallothook-Response-Signature: "
              + request
              + "."
              + id
              + "\r\nX-Shallothook-Weight-Versions: "
              + version
              + "\r\n\r\n");
      int made = 0;
      for (int event = first; event <= EVENTS; event++) {
        boolean isPreempted = request.equals(preempted) && made == pauseAfter;
        long waitMillis = isPreempted ? pauseMillis : EVENT_MILLIS;
        if (isPreempted) {
          rig.log(id + ": preempts " + request + " for " + waitMillis + " ms");
        }
        if (!wire.waitWhileOpen(waitMillis)) {
          rig.log(id + ": the system closed the channel of " + request + " before event " + event);
          return false;
        }
        wire.writeChunk("id: " + event + "\ndata: " + request + "-" + event + "\n\n");
        made++;
      }
      wire.write("0\r\n\r\n");
      rig.log(id + ": has completed " + request);
      return true;
    } finally {
      active.decrementAndGet();
    }
  }
}

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Sound stand-ins for the servers of a deployment; each keeps its entry in the store current. */
final class Servers {
  static final String MODEL = "linen-model";
  static final String MODEL_SERVICE = "models";
  static final long HEARTBEAT_MILLIS = 1_200;

  /** Time for which a server is slow after its start. */
  private static final long COLD_MILLIS = 120_000;

  private Servers() {}

  /** A plain server, which remembers for whom it has run each request, and when. */
  static final class Plain {
    final String id;
    final Map<String, String> tenantOf = new ConcurrentHashMap<>();

    /** Whether the server says in its answers that it leaves. */
    volatile boolean isLeaving;

    /** One in so many answers has a wrong byte in the name of its receipt; 0 if none has. */
    volatile int spoiledInterval;

    final AtomicInteger spoiled = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();

    /** Time that the server works on a request. */
    volatile long workMillis;

    private final MiniHttp http;
    private final long born = System.currentTimeMillis();
    private final CheckIns checkIns;

    Plain(LogStore store, String service, String id) throws IOException {
      this(store, service, id, true);
    }

    /**
     * Starts a server.
     *
     * @param isCold whether it is slow after its start for a while, so that its check-ins change
     */
    Plain(LogStore store, String service, String id, boolean isCold) throws IOException {
      this.id = id;
      this.http = new MiniHttp(this::handle);
      this.checkIns =
          new CheckIns(
              store, id, () -> entry(service, http.address(), isCold ? COLD_MILLIS : 0, "", born));
    }

    private String receiptName() {
      boolean isSpoiled =
          spoiledInterval > 0 && answers.incrementAndGet() % spoiledInterval == 0;
      if (isSpoiled) {
        spoiled.incrementAndGet();
      }
      return isSpoiled ? "X-Shallothook-Response-Sig~ature" : "X-Shallothook-Response-Signature";
    }

    void endCheckIns() {
      checkIns.end();
    }

    /** Ends the server: it accepts nothing from now on, and its connections are closed. */
    void end() throws IOException {
      http.close();
    }

    long sinceCheckInMillis() {
      return (System.nanoTime() - checkIns.sentNanos) / 1_000_000;
    }

    /** Returns the next check-in. */
    String checkIn() {
      return checkIns.next();
    }

    private void handle(MiniHttp.Call call) throws IOException {
      String expected = call.header("X-Shallothook-Expected-Instance");
      if (expected != null && !expected.equals(id)) {
        call.respond(
            421,
            Map.of("X-Shallothook-Not-Executed", "1", "X-Shallothook-Instance-Id", id),
            new byte[0]);
        return;
      }
      String request = call.header("X-Shallothook-Request-Id");
      tenantOf.put(request, String.valueOf(call.header("X-Shallothook-Tenant-Name")));
      Rig.sleep(workMillis);
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("X-Shallothook-Request-Id", request);
      headers.put(receiptName(), id + "." + request);
      headers.put("Keep-Alive", "timeout=20");
      if (isLeaving) {
        headers.put("Server-Leaving", "1");
      }
      call.respond(200, headers, ("done " + request).getBytes(StandardCharsets.UTF_8));
    }
  }

  /** A model server without requests; it installs the weights that it is ordered to. */
  static final class Model {
    final String id;
    private final MiniHttp http;
    private final long born = System.currentTimeMillis();
    private long version = 1;
    private long orders;
    private long fence;

    Model(LogStore store, String id) throws IOException {
      this.id = id;
      this.http = new MiniHttp(this::handle);
      CheckIns unused =
          new CheckIns(store, id, () -> entry(MODEL_SERVICE, http.address(), 0, models(), born));
    }

    String address() {
      return http.address();
    }

    private synchronized String models() {
      return ",\"models\":[{\"name\":\"" + MODEL + "\",\"version\":" + version
          + ",\"adapters\":[]}]";
    }

    private synchronized void handle(MiniHttp.Call call) throws IOException {
      if (call.is("GET", "/v1/report")) {
        call.json(
            200,
            "{\"stage\":\"colocated\"" + models() + ",\"busy\":false,\"sequence\":" + orders
                + ",\"queued_requests\":0,\"active_requests\":0,\"kv_cache_used\":0,"
                + "\"kv_cache_total\":90000,\"handles\":0,\"runs\":[],\"born\":" + born + "}");
      } else if (call.is("POST", "/v1/order")) {
        order(call);
      } else {
        call.json(404, "{}");
      }
    }

    private void order(MiniHttp.Call call) throws IOException {
      String body = new String(call.body, StandardCharsets.UTF_8);
      long ordered = number(body, "version");
      if (!id.equals(call.header("X-Shallothook-Expected-Instance"))) {
        call.json(421, "{}");
      } else if (number(body, "fencing_token") < fence) {
        call.json(412, "{}");
      } else if (ordered == version) {
        call.json(200, "{}");
      } else if (number(body, "expect") != orders) {
        call.json(409, "{}");
      } else {
        fence = number(body, "fencing_token");
        orders++;
        version = ordered;
        call.json(202, "{}");
      }
    }

    private static long number(String body, String name) {
      int start = body.indexOf("\"" + name + "\":") + name.length() + 3;
      int end = start;
      while (Character.isDigit(body.charAt(end))) {
        end++;
      }
      return Long.parseLong(body.substring(start, end));
    }
  }

  private static String entry(
      String service, String address, long coldMillis, String more, long born) {
    long coldRemaining = Math.max(0, born + coldMillis - System.currentTimeMillis());
    return "{\"service\":\"" + service + "\",\"address\":\"" + address
        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":32,\"state\":\"ready\""
        + ",\"cold_remaining_ms\":" + coldRemaining + ",\"born\":" + born + more;
  }

  /**
   * The check-ins of a server, each with a higher sequence number than the one before. The entry
   * changes with those that change more than the sequence number.
   */
  private static final class CheckIns {
    private final LogStore store;
    private final String id;
    private final Supplier<String> entry;
    private long sequence;
    private boolean hasEnded;
    private String sent = "";
    private volatile long sentNanos = System.nanoTime();

    CheckIns(LogStore store, String id, Supplier<String> entry) {
      this.store = store;
      this.id = id;
      this.entry = entry;
      boolean unused = sendOne();
      MiniHttp.daemon(this::send);
    }

    synchronized String next() {
      return entry.get() + ",\"sequence\":" + ++sequence + "}";
    }

    synchronized void end() {
      hasEnded = true;
    }

    private synchronized boolean sendOne() {
      String present = entry.get();
      if (!hasEnded && !present.equals(sent)) {
        store.put("keyed.servers", id, next());
        sent = present;
        sentNanos = System.nanoTime();
      }
      return !hasEnded;
    }

    private void send() {
      Rig.sleep(HEARTBEAT_MILLIS);
      while (sendOne()) {
        Rig.sleep(HEARTBEAT_MILLIS);
      }
    }
  }
}

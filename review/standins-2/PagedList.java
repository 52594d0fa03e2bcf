import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Kills all routers of a deployment whose list of servers takes two pages of the store, and starts
 * them again. Breaks RECOVER if less than a quarter of the requests is served after recovery_s.
 */
final class PagedList {
  private static final int ROUTERS = 2;
  private static final int BOOKING_SERVERS = 3;
  private static final int REGISTER_SERVERS = 517;
  private static final long DOWN_MILLIS = 1_100;

  /** recovery_s of the deployment. */
  private static final long RECOVERY_MILLIS = 12_000;

  private static final long BETWEEN_REQUESTS_MILLIS = 50;

  private final Rig rig;
  private final boolean hasTrouble;
  private final LogStore store = new LogStore();
  private final List<Rig.Router> routers = new ArrayList<>();
  private long requests;

  private PagedList(Rig rig, boolean hasTrouble) {
    this.rig = rig;
    this.hasTrouble = hasTrouble;
  }

  public static void main(String[] args) {
    int code = Rig.NOT_RUN;
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    try (Rig rig = new Rig(Path.of(args[0]))) {
      code = new PagedList(rig, hasTrouble).run();
    } catch (Exception | Error e) {
      code = Rig.NOT_RUN;
      e.printStackTrace();
    }
    System.exit(code);
  }

  private int run() throws Exception {
    store.put(
        "keyed.op",
        "config",
        "{\"version\":4,\"routes\":[" + route("bookings", "unsafe", 1) + ","
            + route("registers", "safe", 2)
            + "],\"services\":[{\"name\":\"bookings\"},{\"name\":\"registers\"}],"
            + "\"tenants\":[{\"name\":\"guild\",\"api_keys\":[\"key-1\"]}]}");
    for (int index = 1; index <= BOOKING_SERVERS; index++) {
      Servers.Plain unused = new Servers.Plain(store, "bookings", "b-" + index, false);
    }
    for (int index = 1; index <= ROUTERS; index++) {
      routers.add(rig.router("router-" + index, store));
    }
    if (!awaitReady()) {
      return Rig.NOT_RUN;
    }
    for (int index = 1; index <= REGISTER_SERVERS; index++) {
      Servers.Plain unused =
          new Servers.Plain(
              store, "registers", String.format(Locale.ROOT, "r-%04d", index), false);
    }
    rig.note(BOOKING_SERVERS + REGISTER_SERVERS + " servers are listed");
    Rig.sleep(3_000);
    double before = servedShare("before the fault", 4_000);
    if (hasTrouble) {
      rig.note("SIGKILL to all routers");
      for (int index = 0; index < ROUTERS; index++) {
        rig.process(index).destroyForcibly().waitFor(5, TimeUnit.SECONDS);
      }
      Rig.sleep(DOWN_MILLIS);
      for (int index = 0; index < ROUTERS; index++) {
        rig.startAgain(index);
      }
      if (!awaitReady()) {
        return Rig.NOT_RUN;
      }
    }
    Rig.sleep(RECOVERY_MILLIS);
    double after = servedShare("more than recovery_s after it", 6_000);
    if (!rig.allRun() || before < 0.25) {
      rig.note("a process has ended by itself, or too little was served before the fault");
      return Rig.NOT_RUN;
    }
    String result = "share served before: " + before + ", after: " + after;
    rig.note(result);
    System.out.println(result);
    return after < 0.25 ? Rig.BROKEN : Rig.HELD;
  }

  private boolean awaitReady() {
    for (Rig.Router router : routers) {
      if (!rig.awaitReady(router, 20_000)) {
        rig.note(router.name() + " did not become ready");
        return false;
      }
      rig.note(router.name() + " says that it is ready");
    }
    return true;
  }

  private double servedShare(String when, long millis) {
    long until = rig.millis() + millis;
    int sent = 0;
    int served = 0;
    while (rig.millis() < until) {
      for (Rig.Router router : routers) {
        sent++;
        int status = book(router);
        served += status == 200 ? 1 : 0;
        if (status != 200 && sent - served == 1) {
          rig.note("the first booking that is not served is answered " + status);
        }
      }
      Rig.sleep(BETWEEN_REQUESTS_MILLIS);
    }
    rig.note(served + " of " + sent + " bookings are served " + when);
    return Math.round(100.0 * served / sent) / 100.0;
  }

  private int book(Rig.Router router) {
    String id = String.format(Locale.ROOT, "%016x", 0x5eed000000000000L + ++requests);
    return Rig.send(
            router.callers(),
            "POST /bookings/collect HTTP/1.1\r\nHost: linen.example\r\n"
                + "X-Shallothook-Request-Id: " + id
                + "\r\nX-Shallothook-Request-Deadline: 1500\r\nAuthorization: Token key-1\r\n"
                + "Content-Length: 5\r\n\r\ncloth",
            2_500)
        .map(Rig.Answer::status)
        .orElse(0);
  }

  private static String route(String service, String kind, int attempts) {
    return "{\"name\":\"r-" + service + "\",\"host\":\"linen.example\",\"path_prefix\":\"/"
        + service + "/\",\"kind\":\"" + kind + "\",\"timeout_ms\":1500,\"target_latency_ms\":400,"
        + "\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":" + attempts + "}";
  }
}

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server leaves, and the last check-in that it has sent before is executed by the store seconds
 * later. Breaks DRAIN if a router that has passed on an answer with Server-Leaving sends the server
 * requests again.
 */
final class LateCheckIn {
  private static final int ROUTERS = 4;

  /** drain_ms of the deployment. */
  private static final long DRAIN_MILLIS = 2_000;

  /** Time from the end of the server's check-ins until the store executes the last one. */
  private static final long LATE_MILLIS = 4_000;

  private static final int CLIENTS_PER_ROUTER = 3;
  private static final long BETWEEN_REQUESTS_MILLIS = 40;

  /** Time that a server works on a booking; the sheet says 85.7 ms. */
  private static final long WORK_MILLIS = 80;

  private final Rig rig;
  private final boolean hasTrouble;
  private final LogStore store = new LogStore();
  private final List<Rig.Router> routers = new ArrayList<>();
  private final Map<String, Long> passedOnMillis = new ConcurrentHashMap<>();
  private Servers.Plain leaving;
  private final AtomicLong requests = new AtomicLong();
  private final AtomicInteger late = new AtomicInteger();

  private LateCheckIn(Rig rig, boolean hasTrouble) {
    this.rig = rig;
    this.hasTrouble = hasTrouble;
  }

  public static void main(String[] args) {
    int code = Rig.NOT_RUN;
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    try (Rig rig = new Rig(Path.of(args[0]))) {
      code = new LateCheckIn(rig, hasTrouble).run();
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
        "{\"version\":4,\"routes\":[{\"name\":\"r-1\",\"host\":\"linen.example\",\"path_prefix\":"
            + "\"/bookings/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":400,"
            + "\"priority\":1,\"service\":\"bookings\",\"max_attempts\":1}],"
            + "\"services\":[{\"name\":\"bookings\"}],"
            + "\"tenants\":[{\"name\":\"guild\",\"api_keys\":[\"key-1\"]}]}");
    leaving = new Servers.Plain(store, "bookings", "i-leaving");
    leaving.workMillis = WORK_MILLIS;
    new Servers.Plain(store, "bookings", "i-staying").workMillis = WORK_MILLIS;
    for (int index = 1; index <= ROUTERS; index++) {
      routers.add(rig.router("router-" + index, store));
    }
    for (Rig.Router router : routers) {
      if (!rig.awaitReady(router, 20_000)) {
        rig.note(router.name() + " did not become ready");
        return Rig.NOT_RUN;
      }
    }
    bookFor(3_500);
    rig.note("i-leaving begins to leave; its answers have Server-Leaving from now on");
    leaving.isLeaving = true;
    leaving.endCheckIns();
    String lastCheckIn = leaving.checkIn();
    rig.note("its last check-in is on its way to the store and gets no response: " + lastCheckIn);
    bookFor(500);
    store.remove("keyed.servers", leaving.id);
    rig.note("its entry is removed; it serves on for many seconds");
    bookFor(LATE_MILLIS - 500);
    if (passedOnMillis.isEmpty()) {
      rig.note("no router has passed on an answer with Server-Leaving");
      return Rig.NOT_RUN;
    }
    if (hasTrouble) {
      store.put("keyed.servers", leaving.id, lastCheckIn);
      rig.note("the store executes the last check-in");
    }
    // An entry without further check-ins expires after three intervals.
    bookFor(3_600);
    store.remove("keyed.servers", leaving.id);
    rig.note("the entry is removed");
    bookFor(1_000);
    if (!rig.allRun()) {
      rig.note("a process has ended by itself");
      return Rig.NOT_RUN;
    }
    String result = "requests that reached a server over drain_ms after its router had passed on"
        + " that it leaves: " + late;
    rig.note(result);
    System.out.println(result);
    return late.get() == 0 ? Rig.HELD : Rig.BROKEN;
  }

  /** Sends bookings through all routers at once. */
  private void bookFor(long millis) throws InterruptedException {
    long until = rig.millis() + millis;
    List<Thread> clients = new ArrayList<>();
    for (Rig.Router router : routers) {
      for (int client = 0; client < CLIENTS_PER_ROUTER; client++) {
        Thread thread =
            new Thread(
                () -> {
                  while (rig.millis() < until) {
                    book(router);
                    Rig.sleep(BETWEEN_REQUESTS_MILLIS);
                  }
                });
        clients.add(thread);
        thread.start();
      }
    }
    for (Thread client : clients) {
      client.join();
    }
  }

  private void book(Rig.Router router) {
    String id = String.format(Locale.ROOT, "%016x", 0x5eed000000000000L + requests.incrementAndGet());
    long sentMillis = rig.millis();
    Optional<Rig.Answer> answer =
        Rig.send(
            router.callers(),
            "POST /bookings/collect HTTP/1.1\r\nHost: linen.example\r\n"
                + "X-Shallothook-Request-Id: " + id
                + "\r\nX-Shallothook-Request-Deadline: 1500\r\nAuthorization: Token key-1\r\n"
                + "Content-Length: 5\r\n\r\ncloth",
            2_500);
    Optional<Long> passedOn = Optional.ofNullable(passedOnMillis.get(router.name()));
    if (passedOn.filter(at -> sentMillis > at + DRAIN_MILLIS).isPresent()
        && leaving.tenantOf.containsKey(id)) {
      late.incrementAndGet();
      rig.note(
          "booking " + id + ", sent to " + router.name() + " " + (sentMillis - passedOn.get())
              + " ms after it had passed on an answer of i-leaving with Server-Leaving, was run by"
              + " i-leaving; answered " + answer.map(Rig.Answer::status).orElse(0));
    }
    if (answer.filter(Rig.Answer::isLeaving).isPresent()
        && passedOnMillis.putIfAbsent(router.name(), rig.millis()) == null) {
      rig.note(router.name() + " passes on an answer of i-leaving with Server-Leaving");
    }
  }
}

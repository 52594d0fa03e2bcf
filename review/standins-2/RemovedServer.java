import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;

/**
 * Replaces the servers of a service one after the other: a new one starts, then an old one leaves by
 * the removal of its entry. Consumers come in waves. Breaks DRAIN if a request reaches a server later
 * than the bound after its entry was removed.
 */
final class RemovedServer {
  private static final int ROUTERS = 4;
  private static final int SERVERS = 6;
  private static final int ROUNDS = 12;

  /** drain_ms of the deployment. */
  private static final long DRAIN_MILLIS = 2_000;

  /** Time for which a server serves on after the removal of its entry. */
  private static final long SERVES_ON_MILLIS = 7_000;

  /** Time by which a request is sent later than the bound, beyond doubt. */
  private static final long MARGIN_MILLIS = 200;

  /** Length of a wave of consumers, and of the time without any between two waves. */
  private static final long WAVE_MILLIS = 1_500;

  private static final long QUIET_MILLIS = 2_600;
  private static final int CLIENTS_PER_ROUTER = 2;
  private static final long BETWEEN_REQUESTS_MILLIS = 40;

  /** Offset between the check-ins of two servers. */
  private static final long STAGGER_MILLIS = 190;

  private final Rig rig;
  private final boolean hasTrouble;
  private final LogStore store = new LogStore();
  private final List<Rig.Router> routers = new ArrayList<>();
  private final List<Servers.Plain> servers = new ArrayList<>();
  private final List<Removed> removed = new ArrayList<>();
  private final Random random = new Random(1);
  private int started;
  private long requests;

  /** A server whose entry was removed, and that serves on for a while. */
  private record Removed(Servers.Plain server, long atMillis) {}

  /** A booking that was sent, and when. */
  private record Booking(String id, String router, long sentMillis) {}

  private RemovedServer(Rig rig, boolean hasTrouble) {
    this.rig = rig;
    this.hasTrouble = hasTrouble;
  }

  public static void main(String[] args) {
    int code = Rig.NOT_RUN;
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    try (Rig rig = new Rig(Path.of(args[0]))) {
      code = new RemovedServer(rig, hasTrouble).run();
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
    for (int index = 0; index < SERVERS; index++) {
      startServer();
    }
    for (int index = 1; index <= ROUTERS; index++) {
      routers.add(rig.router("router-" + index, store));
    }
    for (Rig.Router router : routers) {
      if (!rig.awaitReady(router, 20_000)) {
        rig.note(router.name() + " did not become ready");
        return Rig.NOT_RUN;
      }
    }
    // Machines are in touch once they have run for contact_ms.
    Rig.sleep(3_000);
    int late = 0;
    for (int round = 1; round <= ROUNDS; round++) {
      late += round(round);
    }
    if (!rig.allRun()) {
      rig.note("a process has ended by itself");
      return Rig.NOT_RUN;
    }
    String result = "requests that reached a server over drain_ms after its entry was removed: "
        + late;
    rig.note(result);
    System.out.println(result);
    return late == 0 ? Rig.HELD : Rig.BROKEN;
  }

  private void startServer() throws Exception {
    servers.add(new Servers.Plain(store, "bookings", "i-" + ++started));
    Rig.sleep(STAGGER_MILLIS);
  }

  /** Returns how many bookings of the round reached a server over the bound after its removal. */
  private int round(int round) throws Exception {
    startServer();
    Rig.sleep(random.nextInt((int) Servers.HEARTBEAT_MILLIS));
    int late = countLate(wave());
    if (hasTrouble) {
      Servers.Plain leaving = servers.remove(0);
      leaving.isLeaving = true;
      leaving.endCheckIns();
      store.remove("keyed.servers", leaving.id);
      removed.add(new Removed(leaving, rig.millis()));
      MiniHttp.daemon(() -> endLater(leaving));
      rig.note(
          "round " + round + ": the entry of " + leaving.id + " is removed, "
              + leaving.sinceCheckInMillis() + " ms after its last check-in");
    }
    Rig.sleep(QUIET_MILLIS);
    return late + countLate(wave());
  }

  private void endLater(Servers.Plain leaving) {
    Rig.sleep(SERVES_ON_MILLIS);
    try {
      leaving.end();
      rig.note(leaving.id + " has ended");
    } catch (IOException e) {
      rig.note(leaving.id + " did not end: " + e);
    }
  }

  private int countLate(List<Booking> bookings) {
    int late = 0;
    for (Booking booking : bookings) {
      for (Removed one : removed) {
        if (one.server().tenantOf.containsKey(booking.id())
            && booking.sentMillis() > one.atMillis() + DRAIN_MILLIS + MARGIN_MILLIS) {
          late++;
          rig.note(
              "booking " + booking.id() + ", sent to " + booking.router() + " "
                  + (booking.sentMillis() - one.atMillis())
                  + " ms after the entry of its server was removed, was run by "
                  + one.server().id);
        }
      }
    }
    return late;
  }

  /** Sends bookings through all routers at once for a while, and returns them. */
  private List<Booking> wave() throws InterruptedException {
    long until = rig.millis() + WAVE_MILLIS;
    List<Booking> sent = new ArrayList<>();
    List<Thread> clients = new ArrayList<>();
    for (Rig.Router router : routers) {
      for (int client = 0; client < CLIENTS_PER_ROUTER; client++) {
        Thread thread =
            new Thread(
                () -> {
                  while (rig.millis() < until) {
                    Booking booking = book(router);
                    synchronized (sent) {
                      sent.add(booking);
                    }
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
    return sent;
  }

  private synchronized String nextId() {
    return String.format(Locale.ROOT, "%016x", 0x5eed000000000000L + ++requests);
  }

  private Booking book(Rig.Router router) {
    Booking booking = new Booking(nextId(), router.name(), rig.millis());
    Optional<Rig.Answer> unused =
        Rig.send(
            router.callers(),
            "POST /bookings/collect HTTP/1.1\r\nHost: linen.example\r\n"
                + "X-Shallothook-Request-Id: " + booking.id()
                + "\r\nX-Shallothook-Request-Deadline: 1500\r\nAuthorization: Token key-1\r\n"
                + "Content-Length: 5\r\n\r\ncloth",
            2_500);
    return booking;
  }
}

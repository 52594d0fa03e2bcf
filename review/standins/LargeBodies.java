import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers whose bodies are as long as the configuration allows, beside consumers of another
 * route.
 */
final class LargeBodies {
  private static final int LARGE_BYTES = 4_190_000;
  private static final int USUAL_BYTES = 18_000;
  private static final int UPLOADS = 30;
  private static final int BURST_MILLIS = 3_000;
  private static final int PARTS = 20;
  private static final int PART_MILLIS = 120;
  private static final int CHANNELS = 8;
  private static final long TIMEOUT_MILLIS = 800;
  private static final long BUDGET_MILLIS = 1_500;
  private static final long ANSWER_SLACK_MILLIS = 500;

  private final Rig rig;

  /** Set after the first bookings, whose classes the routers still load. */
  private volatile boolean isCounting;

  private final AtomicInteger overdue = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger uploadsAnswered = new AtomicInteger();
  private final AtomicInteger uploadsCut = new AtomicInteger();

  private LargeBodies(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) throws IOException {
    int code;
    try (Rig rig = new Rig(Path.of(arguments[0], "record.txt"))) {
      code = new LargeBodies(rig).run();
      rig.log("exit code " + code);
    }
    System.exit(code);
  }

  private int run() throws IOException {
    new AppServer(rig, "i-app-1", "zone-a", 800);
    new AppServer(rig, "i-app-2", "zone-b", 800);
    new AppServer(rig, "i-app-3", "zone-c", 800);
    rig.publishConfig(
        3,
        64,
        route("book", "/book/", TIMEOUT_MILLIS, 2),
        route("upload", "/upload/", 12_000, 2));
    Rig.Program first = rig.router("front-1", "zone-a");
    Rig.Program second = rig.router("front-2", "zone-b");
    rig.start(first);
    rig.start(second);
    if (!rig.awaitReady(first) || !rig.awaitReady(second)) {
      return 2;
    }
    Rig.sleep(4_000);
    long untilMillis = rig.millis() + 14_000;
    for (int channel = 1; channel <= CHANNELS; channel++) {
      String name = "book-" + channel;
      rig.thread(name, () -> bookUntil(first, name, untilMillis));
    }
    rig.thread("readiness", () -> watch(first, untilMillis));
    Rig.sleep(3_000);
    if (answered.get() == 0) {
      return 2;
    }
    isCounting = true;
    int bytes = rig.hasTrouble ? LARGE_BYTES : USUAL_BYTES;
    rig.log("burst of " + UPLOADS + " requests with bodies of " + bytes + " bytes");
    for (int index = 1; index <= UPLOADS; index++) {
      String id = "upload-" + index;
      rig.thread(id, () -> upload(first, id, bytes));
      Rig.sleep(BURST_MILLIS / UPLOADS);
    }
    Rig.sleep(untilMillis - rig.millis() + 2_500);
    rig.quote(first, "\"process\"", "ERROR");
    rig.log("process alive: " + first.process().isAlive());
    rig.log("uploads answered " + uploadsAnswered + ", cut by the router " + uploadsCut);
    rig.log("bookings answered in time " + answered + ", channels failed " + failed);
    rig.log(
        "bookings unanswered at timeout_ms: "
            + overdue
            + ", of them without an answer half a second later: "
            + unanswered);
    // Of the requests that are unanswered at timeout_ms, more than half have no answer 0.5 s later.
    boolean isBroken = 2 * unanswered.get() > overdue.get() && overdue.get() >= 8;
    return isBroken ? 1 : 0;
  }

  private static String route(String name, String prefix, long timeoutMillis, int priority) {
    return "{\"name\":\""
        + name
        + "\",\"host\":\""
        + Rig.HOST
        + "\",\"path_prefix\":\""
        + prefix
        + "\",\"service\":\"app\",\"kind\":\"unsafe\",\"timeout_ms\":"
        + timeoutMillis
        + ",\"target_latency_ms\":300,\"priority\":"
        + priority
        + ",\"max_attempts\":1}";
  }

  private static String head(String path, String id, long budgetMillis, int bytes) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: "
        + Rig.HOST
        + "\r\nAuthorization: Token "
        + Rig.KEY
        + "\r\nX-Shallothook-Request-Id: "
        + id
        + "\r\nX-Shallothook-Request-Deadline: "
        + budgetMillis
        + "\r\nContent-Length: "
        + bytes
        + "\r\n\r\n";
  }

  /** Books over a kept channel; opens another one after a failure or at the end of the budget. */
  private void bookUntil(Rig.Program router, String name, long untilMillis) {
    int count = 0;
    while (rig.millis() < untilMillis) {
      try (Socket socket = Rig.connect(router.front)) {
        Wire wire = new Wire(socket);
        boolean isOpen = true;
        while (isOpen && rig.millis() < untilMillis) {
          count++;
          isOpen = book(wire, name + "-" + count);
          Rig.sleep(200);
        }
      } catch (IOException e) {
        rig.log(name + ": no channel: " + e.getMessage());
        Rig.sleep(200);
      }
    }
  }

  private boolean book(Wire wire, String id) {
    long sentMillis = rig.millis();
    boolean counts = isCounting;
    int status = 0;
    try {
      wire.write(head("/book/x", id, BUDGET_MILLIS, 600) + "b".repeat(600));
      wire.socket.setSoTimeout((int) BUDGET_MILLIS);
      Wire.Message answer = wire.read();
      status = answer == null ? 0 : answer.status();
    } catch (IOException e) {
      rig.log(id + ": sent at " + sentMillis + " ms: " + e.getMessage());
    }
    long tookMillis = rig.millis() - sentMillis;
    boolean isAnswered = status != 0;
    rig.log(id + ": " + (isAnswered ? "status " + status : "no answer") + " after " + tookMillis);
    if (!counts) {
      answered.addAndGet(isAnswered ? 1 : 0);
    } else if (tookMillis > TIMEOUT_MILLIS) {
      overdue.incrementAndGet();
      if (!isAnswered || tookMillis > TIMEOUT_MILLIS + ANSWER_SLACK_MILLIS) {
        unanswered.incrementAndGet();
      }
    } else if (isAnswered) {
      answered.incrementAndGet();
    } else {
      failed.incrementAndGet();
    }
    return isAnswered;
  }

  /** Sends a body in parts over some seconds, as over a link of a few megabits a second. */
  private void upload(Rig.Program router, String id, int bytes) {
    try (Socket socket = Rig.connect(router.front)) {
      Wire wire = new Wire(socket);
      wire.write(head("/upload/x", id, 12_000, bytes));
      for (int part = 0; part < PARTS; part++) {
        int length = bytes * (part + 1) / PARTS - bytes * part / PARTS;
        wire.write("u".repeat(length));
        Rig.sleep(PART_MILLIS);
      }
      rig.log(id + ": has sent its body");
      socket.setSoTimeout(12_000);
      Wire.Message answer = wire.read();
      rig.log(id + ": " + (answer == null ? "closed without an answer" : answer.first));
      (answer == null ? uploadsCut : uploadsAnswered).incrementAndGet();
    } catch (IOException e) {
      uploadsCut.incrementAndGet();
      rig.log(id + ": " + e.getMessage());
    }
  }

  private void watch(Rig.Program router, long untilMillis) {
    while (rig.millis() < untilMillis) {
      int status = Rig.readiness(router);
      if (status != 200) {
        rig.log("readiness of " + router.name + ": " + (status == 0 ? "no answer" : status));
      }
      Rig.sleep(1_000);
    }
  }
}

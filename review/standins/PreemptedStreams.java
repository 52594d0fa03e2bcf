import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A stream that its servers preempt for a while, at a router that is being stopped as planned. */
final class PreemptedStreams {
  private static final String NEWEST = "newest";

  /** Below 4 s, the gap after which consumers of this route abandon a stream. */
  private static final long PREEMPTED_MILLIS = 2_500;

  private static final long BUDGET_MILLIS = 5_000;
  private static final long GRACE_MILLIS = 8_000;

  private PreemptedStreams() {}

  public static void main(String[] arguments) throws IOException {
    int code;
    try (Rig rig = new Rig(Path.of(arguments[0], "record.txt"))) {
      code = run(rig);
      rig.log("exit code " + code);
    }
    System.exit(code);
  }

  private static int run(Rig rig) throws IOException {
    List<ModelServer> servers =
        List.of(
            new ModelServer(rig, "i-model-1", "zone-a").start(),
            new ModelServer(rig, "i-model-2", "zone-b").start());
    rig.publishConfig(3, 64, Streams.route(2));
    rig.publishVersion(1);
    Rig.Program first = rig.router("front-1", "zone-a");
    Rig.Program second = rig.router("front-2", "zone-b");
    Rig.Program sidecarA = rig.sidecar("side-1", "zone-a", servers.get(0).address());
    Rig.Program sidecarB = rig.sidecar("side-2", "zone-b", servers.get(1).address());
    for (Rig.Program program : List.of(sidecarA, sidecarB, first, second)) {
      rig.start(program);
    }
    if (!rig.awaitReady(first) || !rig.awaitReady(second)) {
      return 2;
    }
    // The machines have been in touch for contact_ms.
    Rig.sleep(4_000);
    Streams.Result calm = Streams.open(rig, first, "calm", BUDGET_MILLIS);
    Rig.sleep(4_000);
    if (!calm.isComplete) {
      return 2;
    }
    if (rig.hasTrouble) {
      servers.forEach(server -> server.preempt(NEWEST, 5, PREEMPTED_MILLIS));
    }
    List<Streams.Result> results = new ArrayList<>();
    for (String request : List.of("older-1", "older-2", NEWEST)) {
      results.add(Streams.open(rig, first, request, BUDGET_MILLIS));
      Rig.sleep(30);
    }
    long termMillis = rig.millis();
    rig.signal(first, "TERM");
    Rig.sleep(7_500);
    int cut = 0;
    for (Streams.Result result : results) {
      long tookMillis = result.endedMillis - result.sentMillis;
      // Not counted: the time budget, and a server at work in the last sixth of the grace period.
      boolean isExcused =
          tookMillis >= BUDGET_MILLIS
              || result.endedMillis >= termMillis + GRACE_MILLIS * 5 / 6;
      if (result.status == 200 && !result.isComplete && !isExcused) {
        cut++;
      }
    }
    rig.quote(first, "break-off", "attempt-failed", "\"resume\"", "\"process\"");
    rig.log("streams cut off: " + cut + " of " + results.size());
    return cut > 0 ? 1 : 0;
  }
}

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A configuration that isolates a tenant whose requests have made cached parts before. */
final class IsolatedTenant {
  private static final long BUDGET_MILLIS = 5_000;

  /** More than config_apply_ms, and more than contact_ms. */
  private static final long APPLIED_MILLIS = 4_000;

  private IsolatedTenant() {}

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
    // Without the trouble, the tenant is isolated from the start, and the change is another one.
    rig.isIsolated = !rig.hasTrouble;
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
    Rig.sleep(APPLIED_MILLIS);
    List<Streams.Result> results = new ArrayList<>();
    ask(rig, List.of(first, second), Rig.KEY, "a", results);
    rig.isIsolated = true;
    rig.publishConfig(6, 64, Streams.route(2));
    Rig.sleep(APPLIED_MILLIS);
    ask(rig, List.of(first, second), Rig.OTHER_KEY, "b", results);
    rig.quote(first, "\"configuration\"");
    rig.quote(second, "\"configuration\"");
    if (results.stream().anyMatch(result -> !result.isComplete)) {
      return 2;
    }
    int uses = servers.stream().mapToInt(server -> server.foreignUses.get()).sum();
    rig.log("parts used across the wall: " + uses);
    return uses > 0 ? 1 : 0;
  }

  private static void ask(
      Rig rig,
      List<Rig.Program> routers,
      String key,
      String tenant,
      List<Streams.Result> results) {
    for (int index = 1; index <= 4; index++) {
      Rig.Program router = routers.get(index % routers.size());
      results.add(Streams.open(rig, router, key, tenant + "-" + index, BUDGET_MILLIS));
      Rig.sleep(1_000);
    }
  }
}

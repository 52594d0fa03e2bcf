import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * A model server and its sidecar that are added to a quiet deployment, and a server that leaves,
 * before new weights are named twice.
 */
final class AddedMachine {
  private static final String MEMBERS = "keyed.shallothook-members";
  private static final long LEASE_MILLIS = 3_000;

  /** A server that starts loads its weights first; the sidecar beside it is up sooner. */
  private static final long SERVER_START_MILLIS = 1_500;

  private AddedMachine() {}

  /** Deployments side by side, as it depends on a moment whether a router misses a sidecar. */
  private static final int DEPLOYMENTS = 8;

  private static final long STAGGER_MILLIS = 700;
  private static final int APP_SERVERS = 6;

  /** Servers of a deployment: one that stays, one that leaves and one that is added. */
  private static final String[][] SERVERS = {
    {"i-9ca01ce0", "i-7d28d915", "i-f1e9dbca"},
    {"i-f245dd93", "i-16396d35", "i-7080d138"},
    {"i-3f717be5", "i-1f6646ff", "i-97f3d403"},
    {"i-13c3df1c", "i-9db552fb", "i-1a47f1aa"},
  };

  public static void main(String[] arguments) throws IOException, InterruptedException {
    Path folder = Path.of(arguments[0]);
    List<Path> records = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    int[] codes = new int[DEPLOYMENTS];
    for (int index = 0; index < DEPLOYMENTS; index++) {
      int deployment = index;
      Path record = Files.createTempFile("record", ".txt");
      records.add(record);
      Thread thread =
          new Thread(
              () -> {
                try (Rig rig = new Rig(record)) {
                  codes[deployment] = run(rig, deployment);
                  rig.log("exit code " + codes[deployment]);
                } catch (IOException e) {
                  codes[deployment] = 2;
                }
              });
      threads.add(thread);
      thread.start();
      Rig.sleep(STAGGER_MILLIS);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    List<String> lines = new ArrayList<>();
    for (int index = 0; index < DEPLOYMENTS; index++) {
      lines.add("deployment " + (index + 1));
      lines.addAll(Files.readAllLines(records.get(index)));
      Files.delete(records.get(index));
    }
    int broken = (int) IntStream.of(codes).filter(code -> code == 1).count();
    boolean hasFailed = IntStream.of(codes).allMatch(code -> code == 2);
    lines.add("deployments with orders of two holders within the lease: " + broken);
    Files.write(folder.resolve("record.txt"), lines);
    System.exit(broken > 0 ? 1 : hasFailed ? 2 : 0);
  }

  private static int run(Rig rig, int deployment) throws IOException {
    String net = "127.0." + (deployment + 1) + ".";
    String[] names = SERVERS[deployment % SERVERS.length];
    ModelServer stays = new ModelServer(rig, names[0], "zone-a", net + "11").start();
    ModelServer leaves = new ModelServer(rig, names[1], "zone-b", net + "12").start();
    for (int index = 1; index <= APP_SERVERS; index++) {
      new AppServer(rig, "i-app-" + index, "zone-a", 800);
    }
    rig.publishConfig(3, 64, Streams.route(2));
    rig.publishVersion(1);
    Rig.Program first = rig.router("front-1", "zone-a", net + "21");
    Rig.Program second = rig.router("front-2", "zone-b", net + "22");
    Rig.Program sidecarA = rig.sidecar("side-1", "zone-a", stays.address());
    Rig.Program sidecarB = rig.sidecar("side-2", "zone-b", leaves.address());
    for (Rig.Program program : List.of(sidecarA, sidecarB, first, second)) {
      rig.start(program);
    }
    if (!rig.awaitReady(first) || !rig.awaitReady(second)) {
      return 2;
    }
    int reads = rig.store.reads(MEMBERS);
    long untilMillis = rig.millis() + 30_000;
    while (rig.store.reads(MEMBERS) < reads + 4 && rig.millis() < untilMillis) {
      Rig.sleep(50);
    }
    ModelServer added = new ModelServer(rig, names[2], "zone-c", net + "13");
    Rig.Program sidecarC = rig.sidecar("side-3", "zone-c", added.address());
    if (rig.hasTrouble) {
      rig.start(sidecarC);
      Rig.sleep(SERVER_START_MILLIS);
      added.start();
      rig.log("machine 3 is added");
    }
    Rig.sleep(4_000);
    leaves.leave();
    Rig.sleep(7_000);
    rig.publishVersion(2);
    Rig.sleep(1_500);
    rig.publishVersion(3);
    Rig.sleep(7_000);
    rig.quote(first, "\"order\"", "kept", "\"left\"");
    rig.quote(second, "\"order\"", "kept", "\"left\"");
    if (rig.hasTrouble) {
      rig.quote(sidecarC, "\"order\"");
    }
    int turns = 0;
    for (ModelServer server : List.of(stays, leaves, added)) {
      for (int index = 1; index < server.received.size(); index++) {
        ModelServer.Order before = server.received.get(index - 1);
        ModelServer.Order order = server.received.get(index);
        long millis = order.atMillis() - before.atMillis();
        if (!order.holder().equals(before.holder()) && millis < LEASE_MILLIS) {
          turns++;
          rig.log(
              server.id
                  + ": "
                  + before.holder()
                  + " and "
                  + order.holder()
                  + " give orders "
                  + millis
                  + " ms apart");
        }
      }
    }
    rig.log("turns of two holders within the lease: " + turns);
    return turns > 0 ? 1 : 0;
  }
}

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;

/**
 * Moves the route of bookings to another service, and names new weights shortly after it, while the
 * store turns a third of the machines away. Breaks CONFIG if a router still has bookings run by the
 * old service after the bound.
 */
final class StaleRoute {
  private static final int ROUTERS = 20;
  private static final int SIDECARS = 10;

  /** Share of the machines of each kind that the store turns away. */
  private static final double SHARE = 0.35;

  private static final int ROUNDS = 8;
  private static final long TURNED_AWAY_MILLIS = 9_000;
  private static final long ROUND_MILLIS = 12_500;
  private static final long LAST_ROUND_MILLIS = 105_000;

  /** Bound of config, config_apply_ms, and its stretch, max_stretch_ms. */
  private static final long BOUND_MILLIS = 2_000 + 5_000;

  /** Time by which a request is sent later than the bound, beyond doubt. */
  private static final long MARGIN_MILLIS = 200;

  private static final long ROUTE_MOVED_MILLIS = 400;
  private static final long WEIGHTS_NAMED_MILLIS = 800;
  private static final String[] SERVICES = {"bookings-a", "bookings-b"};

  private final Rig rig;
  private final boolean hasTrouble;
  private final LogStore store = new LogStore();
  private final List<Rig.Router> routers = new ArrayList<>();
  private final List<LogStore.Door> sidecars = new ArrayList<>();
  private final List<Servers.Plain> servers = new ArrayList<>();
  private long configVersion = 1;
  private long requests;

  private StaleRoute(Rig rig, boolean hasTrouble) {
    this.rig = rig;
    this.hasTrouble = hasTrouble;
  }

  public static void main(String[] args) {
    int code = Rig.NOT_RUN;
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    try (Rig rig = new Rig(Path.of(args[0]))) {
      code = new StaleRoute(rig, hasTrouble).run();
    } catch (Exception | Error e) {
      code = Rig.NOT_RUN;
      e.printStackTrace();
    }
    System.exit(code);
  }

  private int run() throws Exception {
    writeConfig(SERVICES[0]);
    writeWeights(1);
    for (String service : SERVICES) {
      servers.add(new Servers.Plain(store, service, "i-" + service));
    }
    for (int index = 1; index <= SIDECARS; index++) {
      Servers.Model model = new Servers.Model(store, "model-" + index);
      sidecars.add(rig.sidecar("sidecar-" + index, store, model.address()));
    }
    for (int index = 1; index <= ROUTERS; index++) {
      routers.add(rig.router("router-" + index, store));
    }
    for (Rig.Router router : routers) {
      if (!rig.awaitReady(router, 30_000)) {
        rig.note(router.name() + " did not become ready");
        return Rig.NOT_RUN;
      }
    }
    Rig.sleep(1_500);
    Random random = new Random(1);
    int late = 0;
    int rounds = 0;
    while (rounds < ROUNDS && rig.millis() + ROUND_MILLIS < LAST_ROUND_MILLIS) {
      late += round(++rounds, random);
    }
    if (!rig.allRun()) {
      rig.note("a process has ended by itself");
      return Rig.NOT_RUN;
    }
    String result = "bookings run by the old service after the bound: " + late + ", in " + rounds
        + " rounds";
    rig.note(result);
    System.out.println(result);
    return late == 0 ? Rig.HELD : Rig.BROKEN;
  }

  private int round(int round, Random random) {
    long start = rig.millis();
    String prefix = "round " + round + ": ";
    String service = SERVICES[round % SERVICES.length];
    Servers.Plain old = servers.get((round + 1) % SERVICES.length);
    List<Rig.Router> away = new ArrayList<>(routers);
    Collections.shuffle(away, random);
    away = away.subList(0, (int) (SHARE * ROUTERS));
    List<LogStore.Door> awaySidecars = new ArrayList<>(sidecars);
    Collections.shuffle(awaySidecars, random);
    awaySidecars = awaySidecars.subList(0, (int) (SHARE * SIDECARS));
    if (hasTrouble) {
      away.forEach(router -> router.door().setSilent(true));
      awaySidecars.forEach(door -> door.setSilent(true));
    }
    rig.note(
        prefix + "the store " + (hasTrouble ? "gives no response to " : "serves ")
            + away.stream().map(Rig.Router::name).toList() + " and " + awaySidecars.size()
            + " sidecars");
    sleepUntil(start + ROUTE_MOVED_MILLIS);
    writeConfig(service);
    long moved = rig.millis();
    rig.note(prefix + "bookings are moved to " + service + ", acknowledged");
    sleepUntil(start + WEIGHTS_NAMED_MILLIS);
    writeWeights(round + 1);
    rig.note(prefix + "weights " + (round + 1) + " are named, acknowledged");
    sleepUntil(moved + BOUND_MILLIS + MARGIN_MILLIS);
    TreeSet<String> lateRouters = new TreeSet<>();
    int late = 0;
    int sent = 0;
    while (rig.millis() < start + TURNED_AWAY_MILLIS - 300) {
      for (Rig.Router router : routers) {
        long sentMillis = rig.millis();
        String id = String.format(Locale.ROOT, "%016x", 0x5eed000000000000L + ++requests);
        int status = book(router, id).map(Rig.Answer::status).orElse(0);
        sent++;
        if (old.tenantOf.containsKey(id)) {
          late++;
          lateRouters.add(router.name());
          rig.note(
              prefix + "booking " + id + ", sent to " + router.name() + " "
                  + (sentMillis - moved) + " ms after the move, is answered " + status
                  + " and was run by " + old.id);
        }
      }
      Rig.sleep(150);
    }
    rig.note(prefix + sent + " bookings sent after the bound; run by the old service through "
        + lateRouters);
    sleepUntil(start + TURNED_AWAY_MILLIS);
    routers.forEach(router -> router.door().setSilent(false));
    sidecars.forEach(door -> door.setSilent(false));
    rig.note(prefix + "the store serves all machines again");
    sleepUntil(start + ROUND_MILLIS);
    return late;
  }

  private void sleepUntil(long millis) {
    Rig.sleep(Math.max(0, millis - rig.millis()));
  }

  private static Optional<Rig.Answer> book(Rig.Router router, String id) {
    String text =
        "POST /bookings/collect HTTP/1.1\r\nHost: linen.example\r\nX-Shallothook-Request-Id: "
            + id
            + "\r\nX-Shallothook-Request-Deadline: 1500\r\nAuthorization: Token key-1\r\n"
            + "Content-Length: 5\r\n\r\ncloth";
    return Rig.send(router.callers(), text, 2_500);
  }

  /** Writes a config that sends bookings to a service; returns when it is acknowledged. */
  private void writeConfig(String service) {
    configVersion += 3;
    store.put(
        "keyed.op",
        "config",
        "{\"version\":" + configVersion
            + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"linen.example\",\"path_prefix\":"
            + "\"/bookings/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":400,"
            + "\"priority\":1,\"service\":\"" + service
            + "\",\"max_attempts\":1}],\"services\":[{\"name\":\"" + SERVICES[0]
            + "\"},{\"name\":\"" + SERVICES[1] + "\"},{\"name\":\"" + Servers.MODEL_SERVICE
            + "\",\"engine\":{\"slots\":32,\"kv_cache_tokens\":90000,\"kv_token_bytes\":163840,"
            + "\"link_mbps\":370000,\"models\":[{\"name\":\"" + Servers.MODEL
            + "\"}]}}],\"tenants\":[{\"name\":\"guild\",\"api_keys\":[\"key-1\"]}]}");
  }

  private void writeWeights(long version) {
    store.put(
        "keyed.op",
        "version/" + Servers.MODEL,
        "{\"model\":\"" + Servers.MODEL + "\",\"version\":" + version + "}");
  }
}

package org.shallothook.soak;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import org.shallothook.router.RouterMain;
import org.shallothook.sidecar.SidecarMain;
import org.shallothook.soak.standins.FaultProxy;
import org.shallothook.soak.standins.Ledger;
import org.shallothook.soak.standins.ServerStandin;
import org.shallothook.soak.standins.StoreStandin;
import org.shallothook.standins.PortBlock;

/**
 * A whole deployment on loopback: store and servers as stand-ins within this process, routers and
 * sidecars as processes of their own, each with a link to the store that can be disturbed.
 *
 * <p>Invariant: {@link #close} ends every process that was started. Thread-safe once started.
 */
final class Deployment implements AutoCloseable {
  /** Key of the one team, valid in every configuration. */
  static final String KEY = "key-of-the-team";

  static final String HOST = "soak.example";

  /** Longest time that an operator wants a request kept, in milliseconds. */
  static final long TIMEOUT_MILLIS = 4_000;

  private static final String CONFIGURATION = "config";
  private static final List<String> MEMORY =
      List.of(
          "-Xmx72m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:CICompilerCount=1",
          "-XX:-UsePerfData");

  private final Path folder;
  private final PortBlock ports = PortBlock.reserve();
  private final NioEventLoopGroup loop =
      new NioEventLoopGroup(1, new DefaultThreadFactory("stand-ins", true));
  private final Ledger ledger = new Ledger();
  private final StoreStandin store = new StoreStandin(loop);
  private final List<ServerStandin> models = new ArrayList<>();
  private final List<ServerStandin> bookings = new ArrayList<>();
  private final List<ManagedProcess> routers = new ArrayList<>();
  private final List<ManagedProcess> sidecars = new ArrayList<>();
  private final List<FaultProxy> storeLinks = new ArrayList<>();
  private final List<InetSocketAddress> callers = new ArrayList<>();
  private final List<InetSocketAddress> admins = new ArrayList<>();
  private long configurationVersion;
  private final AtomicLong weightsVersion = new AtomicLong(1);

  Deployment(Path folder, SoakOptions options) throws IOException {
    this.folder = folder;
    Files.createDirectories(folder);
    for (int index = 1; index <= options.models(); index++) {
      long seed = options.seed() + index;
      models.add(server(ServerStandin.MODELS, "model-" + index + "-0", seed));
      sidecars.add(sidecar(index, models.get(index - 1).address()));
    }
    for (int index = 1; index <= options.bookings(); index++) {
      long seed = options.seed() - index;
      bookings.add(server(ServerStandin.BOOKINGS, "booking-" + index + "-0", seed));
    }
    for (int index = 1; index <= options.routers(); index++) {
      routers.add(router(index));
    }
    publish();
    nameWeights(weightsVersion.get());
    sidecars.forEach(ManagedProcess::start);
    routers.forEach(ManagedProcess::start);
  }

  Ledger ledger() {
    return ledger;
  }

  StoreStandin store() {
    return store;
  }

  List<ServerStandin> models() {
    return models;
  }

  List<ServerStandin> bookings() {
    return bookings;
  }

  List<ManagedProcess> routers() {
    return routers;
  }

  List<ManagedProcess> sidecars() {
    return sidecars;
  }

  /** Returns the links to the store, those of sidecars first. */
  List<FaultProxy> storeLinks() {
    return storeLinks;
  }

  InetSocketAddress callersOf(int router) {
    return callers.get(router);
  }

  InetSocketAddress adminOf(int router) {
    return admins.get(router);
  }

  /** Returns the weights that every model server should have. */
  long weightsVersion() {
    return weightsVersion.get();
  }

  /** Returns the weights that a model server has. */
  long weightsOf(ServerStandin server) {
    Future<Long> version = loop.submit(server::version);
    try {
      return version.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** Wants the next version of the weights everywhere. */
  void nameNextWeights() {
    nameWeights(weightsVersion.incrementAndGet());
  }

  private void nameWeights(long version) {
    JsonObject wanted = new JsonObject();
    wanted.addProperty("model", ServerStandin.MODEL);
    wanted.addProperty("version", version);
    store.put("keyed.op", "version/" + ServerStandin.MODEL, wanted.toString());
  }

  /** Publishes the next version of the configuration; what callers may do stays the same. */
  void publish() {
    configurationVersion += 3;
    JsonObject document = new JsonObject();
    document.addProperty("version", configurationVersion);
    JsonArray routes = new JsonArray();
    for (RequestKind kind : RequestKind.values()) {
      routes.add(kind.route());
    }
    document.add("routes", routes);
    JsonArray services = new JsonArray();
    services.add(modelService());
    JsonObject plain = new JsonObject();
    plain.addProperty("name", ServerStandin.BOOKINGS);
    services.add(plain);
    document.add("services", services);
    JsonArray teams = new JsonArray();
    teams.add(team("team", KEY));
    teams.add(team("other-" + configurationVersion, "key-" + configurationVersion));
    document.add("tenants", teams);
    store.put("keyed.op", CONFIGURATION, document.toString());
  }

  private static JsonObject team(String name, String key) {
    JsonArray keys = new JsonArray();
    keys.add(key);
    JsonObject team = new JsonObject();
    team.addProperty("name", name);
    team.add("api_keys", keys);
    return team;
  }

  private static JsonObject modelService() {
    JsonObject model = new JsonObject();
    model.addProperty("name", ServerStandin.MODEL);
    JsonArray names = new JsonArray();
    names.add(model);
    JsonObject engine = new JsonObject();
    engine.addProperty("slots", 32);
    engine.addProperty("kv_cache_tokens", 100_000);
    engine.add("models", names);
    JsonObject service = new JsonObject();
    service.addProperty("name", ServerStandin.MODELS);
    service.add("engine", engine);
    return service;
  }

  @Override
  public void close() {
    List<ManagedProcess> all = new ArrayList<>(routers);
    all.addAll(sidecars);
    all.forEach(process -> process.signal("CONT"));
    all.forEach(ManagedProcess::kill);
    var unused = loop.shutdownGracefully();
    ports.close();
  }

  private ServerStandin server(String service, String id, long seed) {
    return new ServerStandin(loop, store, ledger, service, id, seed);
  }

  private FaultProxy storeLink() {
    FaultProxy link = new FaultProxy(loop, store.address());
    storeLinks.add(link);
    return link;
  }

  private ManagedProcess sidecar(int index, InetSocketAddress server) throws IOException {
    String settings =
        head("sidecar-" + index, "")
            + "[store]\naddress = "
            + text(storeLink().address())
            + "\n[bounds]\nversion-millis = 8000\n[upstream]\naddress = "
            + text(server)
            + "\n";
    return process("sidecar-" + index, SidecarMain.class, settings);
  }

  private ManagedProcess router(int index) throws IOException {
    InetSocketAddress address = nextAddress();
    callers.add(address);
    String settings =
        head("router-" + index, "callers = " + text(address) + "\n")
            + "[store]\naddress = "
            + text(storeLink().address())
            + "\n[bounds]\nleave-millis = 2000\nconfiguration-millis = 2000\nversion-millis = 8000\n"
            + "order-turn-millis = 3000\nstop-seconds = 8\n"
            + "[retries]\nshare = 0.2\nslack = 50\nwindow-seconds = 10\n";
    ManagedProcess router = process("router-" + index, RouterMain.class, settings);
    return router;
  }

  private String head(String name, String callersLine) throws IOException {
    InetSocketAddress admin = nextAddress();
    if (!callersLine.isEmpty()) {
      admins.add(admin);
    }
    return "[instance]\nname = "
        + name
        + "\nfailure-domain = domain-a\nregion = region\n[listen]\n"
        + callersLine
        + "peers = "
        + text(nextAddress())
        + "\nadmin = "
        + text(admin)
        + "\n";
  }

  private ManagedProcess process(String name, Class<?> main, String settings) throws IOException {
    Path file = folder.resolve(name + ".ini");
    Files.writeString(file, settings);
    List<String> command = new ArrayList<>();
    command.add(ProcessHandle.current().info().command().orElse("java"));
    command.addAll(MEMORY);
    command.add("-cp");
    command.add(
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
    command.add(main.getName());
    command.addAll(List.of("serve-hosted", "--settings", file.toString()));
    return new ManagedProcess(name, command, folder.resolve(name + ".log"));
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private InetSocketAddress nextAddress() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.next());
  }
}

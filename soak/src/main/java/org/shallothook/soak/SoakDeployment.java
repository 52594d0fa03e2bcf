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
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.shallothook.router.RouterMain;
import org.shallothook.sidecar.SidecarMain;
import org.shallothook.soak.standins.ExecutionLog;
import org.shallothook.soak.standins.FaultProxy;
import org.shallothook.soak.standins.ServerStandin;
import org.shallothook.soak.standins.StoreStandin;
import org.shallothook.standins.PortBlock;

/**
 * A complete deployment on loopback: the store and the servers are stand-ins in this process, the
 * routers and sidecars are separate processes. Each of these reaches the store over its own {@link
 * FaultProxy}.
 *
 * <p>Invariant: {@link #close} kills every process that was started. Thread-safe once started.
 */
final class SoakDeployment implements AutoCloseable {
  /** API key of the callers' team, valid in every configuration version. */
  static final String KEY = "key-of-the-team";

  static final String HOST = "soak.example";

  /** Request timeout of every route, in milliseconds. */
  static final long TIMEOUT_MILLIS = 4_000;

  private static final String CONFIGURATION = "config";
  private static final List<String> JVM_OPTIONS =
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
  private final ExecutionLog executionLog = new ExecutionLog();
  private final StoreStandin store = new StoreStandin(loop);
  private final List<ServerStandin> modelServers = new ArrayList<>();
  private final List<ServerStandin> plainServers = new ArrayList<>();
  private final List<ManagedProcess> routers = new ArrayList<>();
  private final List<ManagedProcess> sidecars = new ArrayList<>();
  private final List<FaultProxy> storeLinks = new ArrayList<>();
  private final List<InetSocketAddress> callerAddresses = new ArrayList<>();
  private final List<InetSocketAddress> adminAddresses = new ArrayList<>();
  private long configurationVersion;
  private final AtomicLong desiredVersion = new AtomicLong(1);

  SoakDeployment(Path folder, SoakOptions options) throws IOException {
    this.folder = folder;
    Files.createDirectories(folder);
    for (int index = 1; index <= options.modelServers(); index++) {
      long seed = options.seed() + index;
      modelServers.add(startServer(ServerStandin.MODEL_SERVICE, "model-" + index + "-0", seed));
      sidecars.add(createSidecar(index, modelServers.get(index - 1).address()));
    }
    for (int index = 1; index <= options.plainServers(); index++) {
      long seed = options.seed() - index;
      plainServers.add(startServer(ServerStandin.PLAIN_SERVICE, "booking-" + index + "-0", seed));
    }
    for (int index = 1; index <= options.routers(); index++) {
      routers.add(createRouter(index));
    }
    publishConfiguration();
    publishVersion(desiredVersion.get());
    sidecars.forEach(ManagedProcess::start);
    routers.forEach(ManagedProcess::start);
  }

  ExecutionLog executionLog() {
    return executionLog;
  }

  StoreStandin store() {
    return store;
  }

  List<ServerStandin> modelServers() {
    return modelServers;
  }

  List<ServerStandin> plainServers() {
    return plainServers;
  }

  List<ManagedProcess> routers() {
    return routers;
  }

  List<ManagedProcess> sidecars() {
    return sidecars;
  }

  /** Returns the links to the store, those of the sidecars first. */
  List<FaultProxy> storeLinks() {
    return storeLinks;
  }

  /** Returns the index of a random serving router, or of any if none serves. */
  int chooseRouter(SplittableRandom random) {
    int[] serving =
        IntStream.range(0, routers.size())
            .filter(index -> routers.get(index).isServing())
            .toArray();
    return serving.length == 0
        ? random.nextInt(routers.size())
        : serving[random.nextInt(serving.length)];
  }

  InetSocketAddress callerAddress(int router) {
    return callerAddresses.get(router);
  }

  InetSocketAddress adminAddress(int router) {
    return adminAddresses.get(router);
  }

  /** Returns the weight version that every model server should have. */
  long desiredVersion() {
    return desiredVersion.get();
  }

  /** Returns the weight version that a model server has. */
  long currentVersion(ServerStandin server) {
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

  /** Publishes the next weight version as the desired one of every model server. */
  void publishNextVersion() {
    publishVersion(desiredVersion.incrementAndGet());
  }

  private void publishVersion(long version) {
    JsonObject desired = new JsonObject();
    desired.addProperty("model", ServerStandin.MODEL);
    desired.addProperty("version", version);
    store.put("keyed.op", "version/" + ServerStandin.MODEL, desired.toString());
  }

  /** Publishes a new configuration version that leaves the permissions of callers unchanged. */
  void publishConfiguration() {
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
    plain.addProperty("name", ServerStandin.PLAIN_SERVICE);
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
    service.addProperty("name", ServerStandin.MODEL_SERVICE);
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

  private ServerStandin startServer(String service, String id, long seed) {
    return new ServerStandin(loop, store, executionLog, service, id, seed);
  }

  private FaultProxy createStoreLink() {
    FaultProxy link = new FaultProxy(loop, store.address());
    storeLinks.add(link);
    return link;
  }

  private ManagedProcess createSidecar(int index, InetSocketAddress server) throws IOException {
    String settings =
        commonSettings("sidecar-" + index, "")
            + "[store]\naddress = "
            + format(createStoreLink().address())
            + "\n[bounds]\nversion-millis = 8000\n[upstream]\naddress = "
            + format(server)
            + "\n";
    return createProcess("sidecar-" + index, SidecarMain.class, settings);
  }

  private ManagedProcess createRouter(int index) throws IOException {
    InetSocketAddress address = nextAddress();
    callerAddresses.add(address);
    String settings =
        commonSettings("router-" + index, "callers = " + format(address) + "\n")
            + "[store]\naddress = "
            + format(createStoreLink().address())
            + "\n[bounds]\nleave-millis = 2000\nconfiguration-millis = 2000\nversion-millis = 8000\n"
            + "order-turn-millis = 3000\nstop-seconds = 8\n"
            + "[retries]\nshare = 0.2\nslack = 50\nwindow-seconds = 10\n";
    ManagedProcess router = createProcess("router-" + index, RouterMain.class, settings);
    return router;
  }

  private String commonSettings(String name, String callersLine) throws IOException {
    InetSocketAddress admin = nextAddress();
    if (!callersLine.isEmpty()) {
      adminAddresses.add(admin);
    }
    return "[instance]\nname = "
        + name
        + "\nfailure-domain = domain-a\nregion = region\n[listen]\n"
        + callersLine
        + "peers = "
        + format(nextAddress())
        + "\nadmin = "
        + format(admin)
        + "\nmetrics = "
        + format(nextAddress())
        + "\n";
  }

  private ManagedProcess createProcess(String name, Class<?> main, String settings)
      throws IOException {
    Path file = folder.resolve(name + ".ini");
    Files.writeString(file, settings);
    List<String> command = new ArrayList<>();
    command.add(ProcessHandle.current().info().command().orElse("java"));
    command.addAll(JVM_OPTIONS);
    command.add("-cp");
    command.add(
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
    command.add(main.getName());
    command.addAll(List.of("serve-hosted", "--settings", file.toString()));
    return new ManagedProcess(name, command, folder.resolve(name + ".log"));
  }

  private static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private InetSocketAddress nextAddress() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.next());
  }
}

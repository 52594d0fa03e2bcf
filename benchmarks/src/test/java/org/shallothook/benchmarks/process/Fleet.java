package org.shallothook.benchmarks.process;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.shallothook.standins.PortBlock;

/**
 * A small deployment on loopback, every process on its own: two routers, engines and booking
 * services with their sidecars, and the platform.
 *
 * <p>Invariant: ends every process that it has started. Not thread-safe.
 */
final class Fleet implements AutoCloseable {
  static final String KEY = "key-of-the-team";
  static final List<String> ROUTERS = List.of("router-1", "router-2");

  private static final String SIDECAR = "org.shallothook.sidecar.SidecarMain";
  private static final String ROUTER = "org.shallothook.router.RouterMain";
  private static final String STANDINS = "org.shallothook.standins.StandinsMain";

  private static final int HELD_FACTOR = 50;

  private final Path folder;
  private final FleetShape shape;
  private final Map<String, TcpRelay> relays = new HashMap<>();
  private final PortBlock portBlock = PortBlock.reserve();
  private final Map<String, Integer> ports = new HashMap<>();
  private final Map<String, Process> processes = new LinkedHashMap<>();

  Fleet(Path folder, FleetShape shape) throws Exception {
    this.folder = folder;
    this.shape = shape;
    if (shape.isRelayed()) {
      for (String engine : shape.engines()) {
        relays.put(engine, new TcpRelay(port(engine + "-relay"), port(engine + "-peers")));
      }
    }
    Files.writeString(folder.resolve("standins.ini"), standins());
    Files.writeString(folder.resolve("team.ini"), template("1"));
    start(
        "platform",
        STANDINS,
        "--settings",
        "standins.ini",
        "--only",
        String.join(",", concat(List.of("log", "instances", "weights"), shape.services())));
    for (String upstream : upstreams()) {
      if (shape.engines().contains(upstream)) {
        startStandin(upstream);
      }
      startSidecar(upstream);
    }
    for (String router : ROUTERS) {
      startRouter(router);
    }
    for (String name : concat(ROUTERS, upstreams())) {
      waitUntilServing(name);
    }
    publish();
    for (String router : ROUTERS) {
      waitUntilAnswering(router);
    }
  }

  List<String> engines() {
    return shape.engines();
  }

  List<String> services() {
    return shape.services();
  }

  /** Returns what forwards the connections from routers to the sidecar of an engine. */
  TcpRelay relay(String engine) {
    return relays.get(engine);
  }

  int port(String use) {
    return ports.computeIfAbsent(use, name -> portBlock.next());
  }

  int callers(String router) {
    return port(router + "-callers");
  }

  int admin(String name) {
    return port(name + "-admin");
  }

  Process process(String name) {
    return processes.get(name);
  }

  void startRouter(String name) throws IOException {
    Files.writeString(
        folder.resolve(name + ".ini"),
        common(name) + "callers = " + address(name + "-callers") + "\n");
    start(name, ROUTER, "serve", "--settings", name + ".ini");
  }

  void startSidecar(String name) throws IOException {
    String role =
        shape.engines().contains(name)
            ? "role = model-engine\n"
            : "role = service\nservice = rota\n";
    String upstream = "[upstream]\n" + role + "address = " + address(name + "-upstream") + "\n";
    Files.writeString(folder.resolve(name + ".ini"), upstream + common(name));
    start(name, SIDECAR, "serve", "--settings", name + ".ini");
  }

  void startStandin(String name) throws IOException {
    start("standin-" + name, STANDINS, "--settings", "standins.ini", "--only", name);
  }

  void waitUntilServing(String name) {
    Until.yes(name + " serves", () -> isServing(name));
  }

  private boolean isServing(String name) throws Exception {
    if (!process(name).isAlive()) {
      throw new AssertionError(name + " has ended: " + output(name));
    }
    return Http.get(admin(name), "/healthz").statusCode() == 200;
  }

  /** Publishes through a router's admin port and returns the answer. */
  CompletableFuture<JsonObject> publish(String router, String change, String source, long base) {
    JsonObject form = new JsonObject();
    form.addProperty("change", change);
    form.addProperty("template", "team");
    form.addProperty("source", source);
    form.addProperty("base", base);
    return Http.postAsync(admin(router), "/publish", form.toString())
        .thenApply(answer -> JsonParser.parseString(answer.body()).getAsJsonObject());
  }

  /** Waits until a router answers chats, whichever engine runs them. */
  void waitUntilAnswering(String router) {
    Until.yes(
        router + " answers",
        () -> ChatStream.open(callers(router), KEY, "ready", 1).end().equals("done"));
  }

  /** Tells a stand-in to show a fault. */
  void fault(String standin, String fault, String parameters) throws Exception {
    int status = Http.post(port(standin), "/control/" + fault, parameters).statusCode();
    if (status >= 300) {
      throw new AssertionError("Fault " + fault + " was answered with " + status);
    }
  }

  /** Slows every engine so far that no answer ends before {@link #releaseAnswers}. */
  void holdAnswers() throws Exception {
    for (String engine : shape.engines()) {
      fault(engine + "-upstream", "slow", "{\"factor\":" + HELD_FACTOR + "}");
    }
  }

  /** Lets some engines answer at their own speed again. */
  void releaseAnswers(List<String> engines) throws Exception {
    for (String engine : engines) {
      fault(engine + "-upstream", "slow", "{\"factor\":1}");
    }
  }

  /** Returns an engine that runs a stream now. */
  String runningEngine() {
    List<String> found = new ArrayList<>();
    Until.yes(
        "an engine runs a stream",
        () -> {
          found.clear();
          for (String engine : shape.engines()) {
            if (isRunningStream(engine)) {
              found.add(engine);
            }
          }
          return !found.isEmpty();
        });
    return found.get(0);
  }

  boolean isRunningStream(String engine) throws Exception {
    JsonObject state = Http.json(port(engine + "-upstream"), "/control/state");
    return state.get("running").getAsInt() > 0;
  }

  void signal(String name, String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process(name).pid())).start().waitFor();
  }

  /** Returns what a process has written. */
  String output(String name) throws IOException {
    return Files.readString(folder.resolve(name + ".log"));
  }

  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
    processes.values().forEach(Fleet::await);
    relays.values().forEach(TcpRelay::close);
    portBlock.close();
  }

  private static void await(Process process) {
    try {
      process.waitFor(20, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void publish() throws Exception {
    start("publish", ROUTER, "publish", "--settings", "router-1.ini", "--wait", "team.ini");
    if (process("publish").waitFor() != 0) {
      throw new AssertionError("Publishing failed: " + output("publish"));
    }
  }

  private void start(String name, String main, String... arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx64m", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of("-cp", classPath(), main));
    command.addAll(List.of(arguments));
    File log = folder.resolve(name + ".log").toFile();
    Process process =
        new ProcessBuilder(command)
            .directory(folder.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
    processes.put(name, process);
  }

  private static String classPath() {
    return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
  }

  private String common(String name) {
    return "[instance]\nname = "
        + name
        + "\nfailure-domain = a\nregion = r\n[platform]\nlog = "
        + address("log")
        + "\ninstances = "
        + address("instances")
        + "\n[listen]\npeers = "
        + address(name + "-peers")
        + "\nadmin = "
        + address(name + "-admin")
        + "\n";
  }

  private String standins() {
    StringBuilder text = new StringBuilder();
    text.append("[log]\ntype = log\nlisten = ").append(address("log"));
    text.append("\n[instances]\ntype = instance-list\nlag_millis = 0\nlisten = ")
        .append(address("instances"));
    text.append("\n[weights]\ntype = weight-store\nfetch_millis = ")
        .append(shape.fetchMillis())
        .append("\nlisten = ")
        .append(address("weights"));
    for (String engine : shape.engines()) {
      text.append("\n[").append(engine).append("]\ntype = model-engine\nmodels = m@1\nlisten = ");
      text.append(address(engine + "-upstream"));
      text.append("\nweight_store = ").append(address("weights"));
    }
    for (String service : shape.services()) {
      text.append("\n[").append(service).append("]\ntype = service\nlisten = ");
      text.append(address(service + "-upstream"));
    }
    ROUTERS.forEach(name -> text.append(instance(name, "router", "")));
    shape.engines().forEach(name -> text.append(instance(name, "model-engine", "")));
    shape.services().forEach(name -> text.append(instance(name, "service", "rota")));
    return text.append('\n').toString();
  }

  private String instance(String name, String role, String service) {
    return "\n[instance:"
        + name
        + "]\nrole = "
        + role
        + "\naddress = "
        + address(name + (relays.containsKey(name) ? "-relay" : "-peers"))
        + "\nfailure_domain = a\nregion = r\nservice = "
        + service;
  }

  /** Returns the team's template with a version of its model. */
  static String template(String version) throws Exception {
    byte[] digest =
        MessageDigest.getInstance("SHA-256").digest(KEY.getBytes(StandardCharsets.UTF_8));
    return "[team]\nname = team\nkey-sha256 = "
        + HexFormat.of().formatHex(digest)
        + "\nmodel = m\nversion = "
        + version
        + "\npriority = ordinary\n[limits]\nmaximum-output-tokens = 2000\n"
        + "[rulebook]\ntext = Rules of the parish.\n[service rota]\n"
        + "repeatable-paths = availability\nchecks-fencing = false\n";
  }

  private String address(String use) {
    return "127.0.0.1:" + port(use);
  }

  private List<String> upstreams() {
    return concat(shape.engines(), shape.services());
  }

  private static List<String> concat(List<String> first, List<String> second) {
    List<String> all = new ArrayList<>(first);
    all.addAll(second);
    return all;
  }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small deployment on loopback: programs as separate processes, everything else stand-ins. */
final class Rig implements AutoCloseable {
  static final String KEY = "key-of-tenant-a";
  static final String OTHER_KEY = "key-of-tenant-b";
  static final String HOST = "review.example";
  static final String MODEL = "model-a";

  /** Work of a thread, which may fail when the rig ends. */
  interface Task {
    void run() throws IOException;
  }

  /** A program of the project. */
  static final class Program {
    final String name;
    final String role;
    final Path settings;
    final String front;
    final String readiness;
    private Process process;

    Program(String name, String role, Path settings, String front, String readiness) {
      this.name = name;
      this.role = role;
      this.settings = settings;
      this.front = front;
      this.readiness = readiness;
    }

    Process process() {
      return process;
    }
  }

  final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
  final long startedNanos = System.nanoTime();
  private final PrintWriter record;
  private final Path folder;
  private final List<Program> programs = new ArrayList<>();
  final Store store;

  /** Whether tenant-a is isolated in the newest configuration. */
  volatile boolean isIsolated;

  Rig(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    folder = Files.createTempDirectory("review");
    store = new Store(this);
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    log("trouble: " + hasTrouble);
  }

  long millis() {
    return (System.nanoTime() - startedNanos) / 1_000_000;
  }

  synchronized void log(String text) {
    record.printf("%7d ms  %s%n", millis(), text);
    record.flush();
  }

  void thread(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                log("thread " + name + ": " + e.getMessage());
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Publishes a configuration with the given routes, each the inner part of a JSON object. */
  void publishConfig(int version, int slots, String... routes) {
    String document =
        "{\"version\":"
            + version
            + ",\"routes\":["
            + String.join(",", routes)
            + "],\"services\":[{\"name\":\"llm\",\"connection_limit\":360,\"max_concurrent\":4,"
            + "\"engine\":{\"slots\":"
            + slots
            + ",\"kv_cache_tokens\":103239,\"kv_token_bytes\":163840,\"link_mbps\":370000,"
            + "\"models\":[{\"name\":\""
            + MODEL
            + "\"}]}},{\"name\":\"app\",\"connection_limit\":96}],"
            + "\"tenants\":["
            + tenant("tenant-a", KEY, isIsolated)
            + ","
            + tenant("tenant-b", OTHER_KEY, false)
            + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    store.put("keyed.op", "config", document);
    log("operator: config version " + version + ", tenant-a isolated: " + isIsolated);
  }

  private static String tenant(String name, String key, boolean isIsolated) {
    return "{\"name\":\""
        + name
        + "\",\"api_keys\":[\""
        + key
        + "\"],\"priority\":1,\"isolated\":"
        + isIsolated
        + "}";
  }

  void publishVersion(int version) {
    store.put(
        "keyed.op",
        "version/" + MODEL,
        "{\"model\":\"" + MODEL + "\",\"version\":" + version + "}");
    log("operator: weights version " + version);
  }

  /** Prepares a router with settings as the template of the deploy file gives them. */
  Program router(String name, String zone) throws IOException {
    return router(name, zone, Wire.LOOPBACK);
  }

  Program router(String name, String zone, String ip) throws IOException {
    String front = Wire.freeAddress(ip);
    String readiness = Wire.freeAddress(ip);
    String text =
        instance(name, zone)
            + "[listen]\ncallers = "
            + front
            + "\npeers = "
            + Wire.freeAddress(ip)
            + "\nadmin = "
            + readiness
            + "\nmetrics = "
            + Wire.freeAddress(ip)
            + "\n[store]\naddress = "
            + store.address()
            + "\n[bounds]\nleave-millis = 2000\nconfiguration-millis = 2000\nversion-millis = 8000\n"
            + "settling-millis = 3000\norder-turn-millis = 3000\nstop-seconds = 8\n"
            + "[retries]\nshare = 0.2\nslack = 52\nwindow-seconds = 10\n";
    return program(name, "router", text, front, readiness);
  }

  /** Prepares the sidecar of a server, on the server's machine. */
  Program sidecar(String name, String zone, String server) throws IOException {
    String ip = server.substring(0, server.indexOf(':'));
    String readiness = Wire.freeAddress(ip);
    String text =
        instance(name, zone)
            + "[listen]\npeers = "
            + Wire.freeAddress(ip)
            + "\nadmin = "
            + readiness
            + "\nmetrics = "
            + Wire.freeAddress(ip)
            + "\n[store]\naddress = "
            + store.address()
            + "\n[bounds]\nconfiguration-millis = 2000\nversion-millis = 8000\n"
            + "[upstream]\naddress = "
            + server
            + "\n";
    return program(name, "sidecar", text, "", readiness);
  }

  private static String instance(String name, String zone) {
    return "[instance]\nname = " + name + "\nfailure-domain = " + zone + "\nregion = region-a\n";
  }

  private Program program(String name, String role, String text, String front, String readiness)
      throws IOException {
    Path settings = folder.resolve(name + ".ini");
    Files.writeString(settings, text);
    Program program = new Program(name, role, settings, front, readiness);
    programs.add(program);
    return program;
  }

  /** Starts a program with the command of the deploy file. */
  void start(Program program) throws IOException {
    String section = "[roles." + program.role + "]";
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    String run =
        deploy
            .substring(deploy.indexOf(section))
            .lines()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
    List<String> words = new ArrayList<>();
    for (String word : command.split(" ")) {
      words.add(word.startsWith("/etc/") ? program.settings.toString() : word);
    }
    Path output = folder.resolve(program.name + ".log");
    program.process =
        new ProcessBuilder(words)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
            .start();
    log("start of " + program.name);
  }

  void signal(Program program, String signal) throws IOException {
    log("SIG" + signal + " to " + program.name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(program.process.pid()))
        .inheritIO()
        .start();
  }

  /** Waits until a router says that it is ready; returns false after 20 s. */
  boolean awaitReady(Program program) {
    long untilMillis = millis() + 20_000;
    while (millis() < untilMillis) {
      if (readiness(program) == 200) {
        return true;
      }
      sleep(100);
    }
    log(program.name + " is not ready; alive: " + program.process.isAlive());
    try {
      quote(program, "INFO", "WARN", "ERROR", "Exception", "Cannot");
    } catch (IOException e) {
      log(program.name + ": its log cannot be read: " + e.getMessage());
    }
    return false;
  }

  /** Returns the status of a readiness query as the platform sends it; 0 without an answer. */
  static int readiness(Program program) {
    try (Socket socket = connect(program.readiness)) {
      socket.setSoTimeout(1_000);
      Wire wire = new Wire(socket);
      wire.write("GET /healthz HTTP/1.1\r\nHost: " + program.readiness + "\r\n\r\n");
      Wire.Message answer = wire.read();
      return answer == null ? 0 : answer.status();
    } catch (IOException e) {
      return 0;
    }
  }

  static Socket connect(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket socket = new Socket();
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        1_000);
    return socket;
  }

  /** Copies the log lines of a program that contain one of some texts into the record. */
  void quote(Program program, String... texts) throws IOException {
    Path output = folder.resolve(program.name + ".log");
    for (String line : Files.readAllLines(output)) {
      if (Stream.of(texts).anyMatch(line::contains)) {
        log(program.name + " wrote: " + line);
      }
    }
  }

  private void killAll() {
    for (Program program : programs) {
      if (program.process != null) {
        program.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException {
    killAll();
    for (Program program : programs) {
      if (program.process != null) {
        try {
          program.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
    record.close();
  }
}

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Starts routers and sidecars with the commands of the deploy file, and ends them. Must run in the
 * root of the repository, after the build of the deploy file.
 */
final class Rig implements AutoCloseable {
  /** Exit codes of a case; the java command itself exits with none of them. */
  static final int HELD = 40;

  static final int BROKEN = 41;
  static final int NOT_RUN = 42;

  /** A router with the addresses that callers and operators use. */
  record Router(String name, int callers, int admin, LogStore.Door door) {}

  private static final int LOWEST_PORT = 12_000;
  private static final int PORTS = 18_000;

  private final Random random = new Random();
  private final Set<Integer> givenPorts = new HashSet<>();
  private final Path folder;
  private final PrintWriter record;
  private final List<ProcessBuilder> builders = new ArrayList<>();
  private final List<Process> processes = new CopyOnWriteArrayList<>();
  private final long startNanos = System.nanoTime();
  private boolean isClosed;

  Rig(Path recordFile) throws IOException {
    folder = Files.createTempDirectory("review");
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the time since the start, in milliseconds. */
  long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  synchronized void note(String text) {
    record.println(String.format(Locale.ROOT, "%9.3f %s", millis() / 1000.0, text));
  }

  Router router(String name, LogStore store) throws IOException {
    LogStore.Door door = store.new Door();
    int[] ports = freePorts(4);
    String settings =
        common(name, ports, "callers = 127.0.0.1:" + ports[3] + "\n")
            + "[store]\naddress = " + door.address()
            + "\n[bounds]\nleave-millis = 2000\nconfiguration-millis = 2000\n"
            + "version-millis = 8000\nsettling-millis = 3000\norder-turn-millis = 3000\n"
            + "stop-seconds = 8\n"
            + "[retries]\nshare = 0.2\nslack = 52\nwindow-seconds = 10\n";
    start("router", name, settings);
    return new Router(name, ports[3], ports[1], door);
  }

  LogStore.Door sidecar(String name, LogStore store, String upstream) throws IOException {
    LogStore.Door door = store.new Door();
    String settings =
        common(name, freePorts(3), "")
            + "[store]\naddress = " + door.address()
            + "\n[bounds]\nconfiguration-millis = 2000\nversion-millis = 8000\n"
            + "[upstream]\naddress = " + upstream + "\n";
    start("sidecar", name, settings);
    return door;
  }

  private static String common(String name, int[] ports, String callers) {
    return "[instance]\nname = " + name + "\nfailure-domain = zone-a\nregion = region\n\n[listen]\n"
        + callers
        + "peers = 127.0.0.1:" + ports[0]
        + "\nadmin = 127.0.0.1:" + ports[1]
        + "\nmetrics = 127.0.0.1:" + ports[2] + "\n\n";
  }

  private void start(String role, String name, String settings) throws IOException {
    Path file = folder.resolve(name + ".ini");
    Files.writeString(file, settings);
    List<String> command = new ArrayList<>();
    for (String word : runOf(role).split(" ")) {
      command.add(word.equals("/etc/shallothook/local.toml") ? file.toString() : word);
    }
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    synchronized (this) {
      if (isClosed) {
        throw new IOException("the case is at its end");
      }
      builders.add(builder);
      processes.add(builder.start());
    }
    note("started " + name);
  }

  /** Starts a process that has ended again, with the same settings. */
  synchronized void startAgain(int index) throws IOException {
    if (isClosed) {
      throw new IOException("the case is at its end");
    }
    processes.set(index, builders.get(index).start());
    note("started process " + (index + 1) + " again");
  }

  /** Returns the command of a role in the deploy file. */
  private static String runOf(String role) throws IOException {
    boolean isRole = false;
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        isRole = line.equals("[roles." + role + "]");
      } else if (isRole && line.startsWith("run = \"")) {
        return line.substring(7, line.length() - 1);
      }
    }
    throw new IOException("no command for the role " + role);
  }

  /** Returns the log of a process. */
  Path logOf(String name) {
    return folder.resolve(name + ".log");
  }

  Process process(int index) {
    return processes.get(index);
  }

  /** Returns whether all processes run. */
  boolean allRun() {
    return processes.stream().allMatch(Process::isAlive);
  }

  /** Waits until a router says that it is ready. */
  boolean awaitReady(Router router, long timeoutMillis) {
    long until = millis() + timeoutMillis;
    while (millis() < until) {
      if (isReady(router)) {
        return true;
      }
      sleep(100);
    }
    return false;
  }

  /** Asks a router whether it is ready, as the platform does. */
  boolean isReady(Router router) {
    return send(router.admin(), "GET /healthz HTTP/1.1\r\nHost: admin\r\n\r\n", 900)
        .filter(one -> one.status() == 200)
        .isPresent();
  }

  /** A response with a length, and what its head says. */
  record Answer(int status, String body, boolean isLeaving, boolean hasReceipt) {}

  /** Sends a request on a connection of its own; empty if no complete response comes. */
  static Optional<Answer> send(int port, String request, int timeoutMillis) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(timeoutMillis);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      int status = Integer.parseInt(MiniHttp.line(in).split(" ")[1]);
      int length = 0;
      boolean isLeaving = false;
      boolean hasReceipt = false;
      for (String next = MiniHttp.line(in); !next.isEmpty(); next = MiniHttp.line(in)) {
        if (next.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
          length = Integer.parseInt(next.substring(15).trim());
        }
        hasReceipt |=
            next.toLowerCase(Locale.ROOT).startsWith("x-shallothook-response-signature:");
        isLeaving |= next.equalsIgnoreCase("Server-Leaving: 1");
      }
      byte[] body = in.readNBytes(length);
      return body.length < length
          ? Optional.empty()
          : Optional.of(new Answer(
                  status, new String(body, StandardCharsets.UTF_8), isLeaving, hasReceipt));
    } catch (IOException | RuntimeException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns free ports below those that the system gives to outgoing connections, so that none is
   * taken before the process binds it.
   */
  private int[] freePorts(int count) throws IOException {
    int[] ports = new int[count];
    for (int index = 0; index < count; index++) {
      while (ports[index] == 0) {
        int port = LOWEST_PORT + random.nextInt(PORTS);
        if (givenPorts.add(port)) {
          try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            ports[index] = free.getLocalPort();
          } catch (IOException e) {
            // The port is in use.
            continue;
          }
        }
      }
    }
    return ports;
  }

  private void end() {
    try {
      close();
    } catch (IOException e) {
      System.err.println("not removed: " + folder);
    }
  }

  /** Ends all processes and removes their files; the second call does nothing. */
  @Override
  public synchronized void close() throws IOException {
    if (isClosed) {
      return;
    }
    isClosed = true;
    processes.forEach(Process::destroyForcibly);
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs: " + folder);
      return;
    }
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
    record.close();
  }
}

package org.shallothook.transport.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * HTTP server that responds to each request with the next text of a script, byte for byte.
 *
 * <p>Thread-safe.
 */
final class ScriptedServer implements AutoCloseable {
  /** Step that closes the connection without a response. */
  static final String CLOSE = "close";

  /** Step that sends no response and keeps the connection open. */
  static final String SILENCE = "silence";

  /** Suffix of a step that closes the connection after the response. */
  static final String THEN_CLOSE = "\0close";

  /** Suffix of a step that resets the connection after the response. */
  static final String THEN_RESET = "\0reset";

  /**
   * Separates a response from text that is sent later on the same connection: by {@link
   * #sendLateText}, or before the response to the next request there.
   */
  static final String THEN_LATE = "\0late";

  private final ServerSocket server;
  private final BlockingQueue<String> script = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicReference<LateText> late = new AtomicReference<>();
  private final Socket portHolder = new Socket();
  private final Thread accepting;

  private record LateText(Socket socket, String text) {}

  ScriptedServer() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    accepting = start(this::acceptAll);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  ScriptedServer then(String step) {
    script.add(step);
    return this;
  }

  static String response(int status, String body) {
    int length = body.getBytes(StandardCharsets.UTF_8).length;
    return "HTTP/1.1 " + status + " X\r\ncontent-length: " + length + "\r\n\r\n" + body;
  }

  static String stream(String events) {
    return "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n"
        + events
        + THEN_CLOSE;
  }

  /** Sends the late text that has not been sent yet, unless its connection is closed. */
  void sendLateText() {
    LateText unsent = late.getAndSet(null);
    try {
      write(unsent.socket(), unsent.text());
    } catch (IOException e) {
      // The client has closed the connection.
      return;
    }
  }

  int connections() {
    return connections.get();
  }

  /** Waits for the next request and returns its first line and its body. */
  String nextRequest() throws InterruptedException {
    return requests.poll(20, TimeUnit.SECONDS);
  }

  /**
   * Stops listening; when this method returns, new connections are refused. The port stays bound,
   * so that no other process can listen on it.
   */
  void refuseConnections() throws Exception {
    InetSocketAddress address = address();
    server.close();
    // The socket stays open until the thread blocked in accept() has returned.
    accepting.join();
    portHolder.setReuseAddress(true);
    portHolder.bind(address);
  }

  @Override
  public void close() throws IOException {
    server.close();
    portHolder.close();
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connections.incrementAndGet();
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      for (String request = read(in); request != null; request = read(in)) {
        // Take the step before publishing the request: a test that has seen the request may already
        // add the step for the next one.
        String step = script.poll();
        requests.add(request);
        if (!respond(step, socket, in)) {
          return;
        }
      }
    } catch (IOException e) {
      // The client has closed the connection.
      return;
    }
  }

  private boolean respond(String step, Socket socket, BufferedReader in) throws IOException {
    if (step == null || step.equals(CLOSE)) {
      return false;
    }
    if (step.equals(SILENCE)) {
      return in.read() >= 0;
    }
    boolean isReset = step.endsWith(THEN_RESET);
    boolean isLast = isReset || step.endsWith(THEN_CLOSE);
    String text = step.replace(THEN_CLOSE, "").replace(THEN_RESET, "");
    LateText unsent = late.get();
    if (unsent != null && unsent.socket() == socket && late.compareAndSet(unsent, null)) {
      text = unsent.text() + text;
    }
    int lateStart = text.indexOf(THEN_LATE);
    if (lateStart >= 0) {
      late.set(new LateText(socket, text.substring(lateStart + THEN_LATE.length())));
      text = text.substring(0, lateStart);
    }
    write(socket, text);
    if (isReset) {
      socket.setSoLinger(true, 0);
    }
    return !isLast;
  }

  private static void write(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private static String read(BufferedReader in) throws IOException {
    String first = in.readLine();
    if (first == null) {
      return null;
    }
    int length = 0;
    for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    char[] body = new char[length];
    int read = 0;
    while (read < length) {
      read += in.read(body, read, length - read);
    }
    return first + "\n" + new String(body);
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task, "scripted-server");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}

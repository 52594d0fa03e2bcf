package org.shallothook.transport.forward;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A server that answers each request with the bytes that a script gives for it.
 *
 * <p>Thread-safe.
 */
final class RawServer implements AutoCloseable {
  /** Closes the connection in place of an answer. */
  static final String CLOSE = "";

  /** Between two parts of an answer, of which the second waits for {@link #proceed}. */
  static final String PAUSE = "\0";

  /** Before the last part of an answer, which is sent again and again until the socket closes. */
  static final String FOREVER = "\1";

  private final CountDownLatch cutOff = new CountDownLatch(1);
  private final Semaphore proceeding = new Semaphore(0);
  private final ServerSocket listening;
  private final Function<String, String> script;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<String> requests = new CopyOnWriteArrayList<>();

  RawServer(Function<String, String> script) throws IOException {
    this.script = script;
    listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread accepting = new Thread(this::accept, "raw-server");
    accepting.setDaemon(true);
    accepting.start();
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  List<String> requests() {
    return requests;
  }

  int connections() {
    return sockets.size();
  }

  /** Returns whether every connection was closed by its other side. */
  boolean isAbandoned() {
    return sockets.stream().allMatch(Socket::isClosed);
  }

  @Override
  public void close() throws IOException {
    listening.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listening.accept();
        sockets.add(socket);
        Thread serving = new Thread(() -> serve(socket), "raw-connection");
        serving.setDaemon(true);
        serving.start();
      }
    } catch (IOException e) {
      // The test is over.
      return;
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream input = socket.getInputStream();
      for (String request = read(input); !request.isEmpty(); request = read(input)) {
        requests.add(request);
        String answer = script.apply(request);
        if (answer.equals(CLOSE)) {
          return;
        }
        write(socket, answer);
      }
    } catch (IOException e) {
      // The other side has closed the connection.
      cutOff.countDown();
    }
  }

  /** Waits until the other side has closed a connection that this one still wrote to. */
  boolean awaitCutOff(long millis) throws InterruptedException {
    return cutOff.await(millis, TimeUnit.MILLISECONDS);
  }

  /** Lets the rest of a paused answer go. */
  void proceed() {
    proceeding.release();
  }

  private void write(Socket socket, String answer) throws IOException {
    int endless = answer.indexOf(FOREVER);
    if (endless >= 0) {
      write(socket, answer.substring(0, endless));
      while (true) {
        write(socket, answer.substring(endless + 1));
      }
    }
    int pause = answer.indexOf(PAUSE);
    String first = pause < 0 ? answer : answer.substring(0, pause);
    socket.getOutputStream().write(first.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    if (pause >= 0) {
      proceeding.acquireUninterruptibly();
      write(socket, answer.substring(pause + 1));
    }
  }

  /** Returns the next request, or nothing where the connection has ended. */
  private static String read(InputStream input) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        return "";
      }
      text.append((char) next);
    }
    int length = 0;
    for (String line : text.toString().lines().toList()) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    text.append(new String(input.readNBytes(length), StandardCharsets.ISO_8859_1));
    return text.toString();
  }
}

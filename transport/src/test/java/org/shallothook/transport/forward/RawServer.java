package org.shallothook.transport.forward;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A server that responds to each request with the bytes returned by a script.
 *
 * <p>Thread-safe.
 */
final class RawServer implements AutoCloseable {
  /** Response that closes the connection instead. */
  static final String CLOSE = "";

  /** Separates two parts of a response; the second is sent after {@link #proceed}. */
  static final String PAUSE = "\0";

  /** Precedes the last part of a response, which is repeated until the connection is closed. */
  static final String REPEAT_FOREVER = "\1";

  /** Ends a response after which the server closes the connection. */
  static final String THEN_CLOSE = "\2";

  private final CountDownLatch connectionClosedByPeer = new CountDownLatch(1);
  private final Semaphore proceedPermits = new Semaphore(0);
  private final ServerSocket serverSocket;
  private final Function<String, String> script;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<String> requests = new CopyOnWriteArrayList<>();

  RawServer(Function<String, String> script) throws IOException {
    this.script = script;
    serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread accepting = new Thread(this::accept, "raw-server");
    accepting.setDaemon(true);
    accepting.start();
  }

  String address() {
    return "127.0.0.1:" + serverSocket.getLocalPort();
  }

  List<String> requests() {
    return requests;
  }

  int connections() {
    return sockets.size();
  }

  /** Returns whether every connection is closed. */
  boolean isAbandoned() {
    return sockets.stream().allMatch(Socket::isClosed);
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = serverSocket.accept();
        sockets.add(socket);
        Thread serving = new Thread(() -> serve(socket), "raw-connection");
        serving.setDaemon(true);
        serving.start();
      }
    } catch (IOException e) {
      // The test has closed the server.
      return;
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream input = socket.getInputStream();
      for (String request = read(input); !request.isEmpty(); request = read(input)) {
        requests.add(request);
        String response = script.apply(request);
        if (response.equals(CLOSE)) {
          return;
        }
        write(socket, response.replace(THEN_CLOSE, ""));
        if (response.endsWith(THEN_CLOSE)) {
          return;
        }
      }
    } catch (IOException e) {
      // The peer has closed the connection.
      connectionClosedByPeer.countDown();
    }
  }

  /** Waits until the peer has closed a connection while this server was still using it. */
  boolean awaitClosedByPeer(long millis) throws InterruptedException {
    return connectionClosedByPeer.await(millis, TimeUnit.MILLISECONDS);
  }

  /** Sends bytes on every connection without a request. */
  void sendUnasked(String bytes) {
    for (Socket socket : sockets) {
      try {
        write(socket, bytes);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /** Sends the rest of a paused response. */
  void proceed() {
    proceedPermits.release();
  }

  private void write(Socket socket, String response) throws IOException {
    int endless = response.indexOf(REPEAT_FOREVER);
    if (endless >= 0) {
      write(socket, response.substring(0, endless));
      while (true) {
        write(socket, response.substring(endless + 1));
      }
    }
    int pause = response.indexOf(PAUSE);
    String first = pause < 0 ? response : response.substring(0, pause);
    socket.getOutputStream().write(first.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    if (pause >= 0) {
      proceedPermits.acquireUninterruptibly();
      write(socket, response.substring(pause + 1));
    }
  }

  /** Returns the next request, or the empty string if the connection is closed. */
  private static String read(InputStream input) throws IOException {
    String head = HttpText.readHead(input);
    byte[] body = input.readNBytes(HttpText.bodyLength(head));
    return head + new String(body, StandardCharsets.ISO_8859_1);
  }
}

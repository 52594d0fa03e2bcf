package org.shallothook.benchmarks.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.tinylog.Logger;

/** Forwards connections from one port to another until they are cut. Thread-safe. */
final class TcpRelay implements AutoCloseable {
  private final ServerSocket server;
  private final int target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  TcpRelay(int port, int target) throws IOException {
    this.server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    this.target = target;
    start(this::acceptAll);
  }

  /** Ends every connection at once, both ways, and returns how many ends there were. */
  int cut() {
    Set<Socket> open = Set.copyOf(sockets);
    open.forEach(this::end);
    return open.size();
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    cut();
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        connect(server.accept());
      } catch (IOException e) {
        // Closed, or the sidecar does not listen; the next connection may reach it.
        Logger.debug("relay: no connection to port {}: {}", target, e.getMessage());
      }
    }
  }

  private void connect(Socket near) throws IOException {
    try {
      Socket far = new Socket(InetAddress.getLoopbackAddress(), target);
      sockets.add(near);
      sockets.add(far);
      start(() -> copy(near, far));
      start(() -> copy(far, near));
    } catch (IOException e) {
      near.close();
      throw e;
    }
  }

  private void copy(Socket from, Socket to) {
    try {
      from.getInputStream().transferTo(to.getOutputStream());
      to.shutdownOutput();
    } catch (IOException e) {
      end(from);
      end(to);
    }
  }

  private void end(Socket socket) {
    sockets.remove(socket);
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }
}

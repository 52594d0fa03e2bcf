package org.shallothook.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import org.tinylog.Logger;

/**
 * Ports for the processes of one run on loopback, below those that the system gives to outgoing
 * connections.
 *
 * <p>Invariant: the first port of the block is held open until {@link #close}, so that no other run
 * on the machine reserves the same block meanwhile. Not thread-safe.
 */
public final class PortBlock implements AutoCloseable {
  private static final int FIRST_PORT = 22_000;
  private static final int BLOCK_PORTS = 50;
  private static final int BLOCKS = 200;

  private final ServerSocket guard;
  private int next;

  private PortBlock(ServerSocket guard) {
    this.guard = guard;
    this.next = guard.getLocalPort() + 1;
  }

  /** Reserves the first block that no other run holds, from a random one on. */
  public static PortBlock reserve() {
    int first = ThreadLocalRandom.current().nextInt(BLOCKS);
    for (int tried = 0; tried < BLOCKS; tried++) {
      int port = FIRST_PORT + (first + tried) % BLOCKS * BLOCK_PORTS;
      try {
        return new PortBlock(listen(port));
      } catch (IOException e) {
        Logger.debug("fleet: the block at port {} is taken", port);
      }
    }
    throw new IllegalStateException("No block of ports is free");
  }

  /** Returns the next port of the block that no other program listens at. */
  public int next() {
    while (next < guard.getLocalPort() + BLOCK_PORTS) {
      int port = next++;
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("No port of the block is left");
  }

  @Override
  public void close() {
    try {
      guard.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = listen(port)) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  private static ServerSocket listen(int port) throws IOException {
    return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
  }
}

package org.shallothook.benchmarks.sockets;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.caller.CallerServer;
import org.shallothook.transport.caller.CallerSettings;
import org.shallothook.transport.decision.EventSink;
import org.shallothook.transport.metrics.TransportMetrics;

/** Memory of a caller's connection after one request, on both sides of the socket. */
final class CallerConnectionCost implements Measurement {
  private static final String REQUEST = "GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n";
  private static final byte[] END = "\"}}".getBytes(StandardCharsets.UTF_8);

  private final int connections;

  CallerConnectionCost(int connections) {
    this.connections = connections;
  }

  @Override
  public String measure() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try (EventLoops loops = EventLoops.create(2)) {
      AtomicLong sequence = new AtomicLong();
      CallerServer server =
          new CallerServer(
              CallerSettings.DEFAULT,
              loops.callers(),
              () -> RequestId.of("router", 1, sequence.incrementAndGet()),
              new RefusingSink(),
              new TransportMetrics(),
              () -> 0);
      InetSocketAddress address = server.listen(Addresses.parse("127.0.0.1:0")).get();
      use(sockets, address, 1);
      long before = Heap.usedBytes();
      use(sockets, address, connections);
      long each = (Heap.usedBytes() - before) / connections;
      return "caller connection: " + each + " bytes, with the client's socket in this process";
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  private static void use(List<Socket> sockets, InetSocketAddress address, int count)
      throws Exception {
    for (int opened = 0; opened < count; opened++) {
      Socket socket = new Socket(address.getAddress(), address.getPort());
      sockets.add(socket);
      socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.UTF_8));
      readAnswer(socket);
    }
  }

  private static void readAnswer(Socket socket) throws Exception {
    int matched = 0;
    while (matched < END.length) {
      int next = socket.getInputStream().read();
      matched = next == END[matched] ? matched + 1 : 0;
    }
  }

  /** Takes no work. Thread-safe. */
  private static final class RefusingSink implements EventSink<RouterEvent> {
    @Override
    public boolean offer(RouterEvent event) {
      return false;
    }

    @Override
    public void deliver(RouterEvent event) {}

    @Override
    public boolean isCongested() {
      return false;
    }
  }
}

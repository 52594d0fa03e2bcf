package org.shallothook.benchmarks.control;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Map.Entry;
import java.util.TreeMap;
import org.shallothook.benchmarks.virtual.FleetObserver;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.protocol.peer.ConnectionCodec;
import org.shallothook.state.membership.InstanceRole;

/**
 * Adds up the bytes of the messages between processes, as they are encoded for the wire, and of
 * polls of the platform, by process and kind. What a sidecar says to the engine beside it does not
 * count.
 *
 * <p>Each byte counts once for its sender and once for its receiver. Connections are followed by
 * the times of their messages: Hello in both directions when one opens, heartbeats while an end is
 * silent, and its end some time after the last message. Heads of TCP and IP are not in the counts.
 *
 * <p>Invariant: bytes count only from the start of the window to its end; connections that were
 * open before are known. Not thread-safe.
 */
public final class ControlBytes implements FleetObserver {
  /** Incarnation of every process of a fleet that has not restarted any. */
  private static final long INCARNATION = 1;

  /** Request and answer of a read of the log's end, with a minimum of headers. */
  private static final int LOG_READ_BYTES = 232;

  /** Request and answer of a read of a list that has not changed, with a minimum of headers. */
  private static final int LIST_READ_BYTES = 106;

  private static final String ROUTER_PREFIX = "router-";
  private static final String FAILURE_DOMAIN = "domain-a";

  private final long startMicros;
  private final long endMicros;
  private final Map<String, ByteCounts> byProcess = new TreeMap<>();
  private final Map<Pair, ConnectionLife> connections = new HashMap<>();

  /** Creates counts of a window of time. */
  public ControlBytes(long startMicros, long endMicros) {
    this.startMicros = startMicros;
    this.endMicros = endMicros;
  }

  @Override
  public void routerCommand(String router, RouterCommand command, long nowMicros) {
    if (command instanceof RouterCommand.SendToPeer send) {
      count(router, send.peer(), send.message(), send.configurationOffset(), nowMicros);
    } else if (command instanceof RouterCommand.ReadLog) {
      addPlatform(router, LOG_READ_BYTES, nowMicros);
    } else if (command instanceof RouterCommand.ReadInstances) {
      addPlatform(router, LIST_READ_BYTES, nowMicros);
    }
  }

  @Override
  public void sidecarCommand(String sidecar, SidecarCommand command, long nowMicros) {
    if (command instanceof SidecarCommand.SendToPeer send) {
      count(sidecar, send.peer(), send.message(), send.configurationOffset(), nowMicros);
    } else if (command instanceof SidecarCommand.ReadLog) {
      addPlatform(sidecar, LOG_READ_BYTES, nowMicros);
    } else if (command instanceof SidecarCommand.ReadInstances) {
      addPlatform(sidecar, LIST_READ_BYTES, nowMicros);
    }
  }

  /** Returns the counts by process, once the window is over. */
  public Map<String, ByteCounts> byProcess() {
    for (Entry<Pair, ConnectionLife> entry : connections.entrySet()) {
      entry.getValue().close(endMicros);
      takeHeartbeats(entry.getKey(), entry.getValue());
    }
    connections.clear();
    return byProcess;
  }

  private void count(
      String sender, String receiver, PeerMessage message, long offset, long nowMicros) {
    Pair pair = Pair.of(sender, receiver);
    ConnectionLife life = connections.get(pair);
    if (life == null || life.hasClosed(nowMicros)) {
      if (life != null) {
        life.close(nowMicros);
        takeHeartbeats(pair, life);
      }
      life = new ConnectionLife(startMicros, endMicros, nowMicros);
      connections.put(pair, life);
      if (!(message instanceof PeerMessage.Hello)) {
        // The transport says Hello on each connection; a core's own Hello takes its place.
        int hellos =
            sizeOf(sender, receiver, helloOf(sender), offset)
                + sizeOf(receiver, sender, helloOf(receiver), offset);
        add(pair, MessageKind.HELLO, hellos, nowMicros);
      }
    }
    life.onMessage(sender.equals(pair.first()), nowMicros);
    int size = sizeOf(sender, receiver, message, offset);
    int data = dataBytes(message, size);
    add(pair, MessageKind.of(message), size - data, nowMicros);
    add(pair, MessageKind.DATA, data, nowMicros);
  }

  private void addPlatform(String process, int bytes, long nowMicros) {
    if (nowMicros >= startMicros && nowMicros < endMicros) {
      counts(process).add(MessageKind.PLATFORM, bytes);
    }
  }

  private void add(Pair pair, MessageKind kind, long bytes, long nowMicros) {
    if (nowMicros >= startMicros && nowMicros < endMicros && bytes > 0) {
      counts(pair.first()).add(kind, bytes);
      counts(pair.second()).add(kind, bytes);
    }
  }

  private void takeHeartbeats(Pair pair, ConnectionLife life) {
    long bytes = (long) life.heartbeats() * Integer.BYTES;
    counts(pair.first()).add(MessageKind.HEARTBEAT, bytes);
    counts(pair.second()).add(MessageKind.HEARTBEAT, bytes);
  }

  private ByteCounts counts(String process) {
    return byProcess.computeIfAbsent(process, name -> new ByteCounts());
  }

  private static int sizeOf(String sender, String receiver, PeerMessage message, long offset) {
    Envelope envelope = envelope(sender, offset, message);
    ConnectionCodec codec =
        new ConnectionCodec(
            envelope(sender, 0, helloOf(sender)), envelope(receiver, 0, helloOf(receiver)), true);
    return Integer.BYTES + codec.encode(envelope).length;
  }

  private static Envelope envelope(String sender, long offset, PeerMessage message) {
    return new Envelope(sender, INCARNATION, Math.max(0, offset), message);
  }

  private static PeerMessage helloOf(String process) {
    boolean isRouter = process.startsWith(ROUTER_PREFIX);
    return new PeerMessage.Hello(
        isRouter ? InstanceRole.ROUTER : InstanceRole.MODEL_ENGINE, FAILURE_DOMAIN);
  }

  private static int dataBytes(PeerMessage message, int size) {
    if (message instanceof PeerMessage.Submit submit) {
      return utf8Length(submit.prompt()) + utf8Length(submit.deliveredText());
    }
    return MessageKind.of(message).isControl() ? 0 : size;
  }

  private static int utf8Length(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  /** Two processes, in one order. */
  private record Pair(String first, String second) {
    static Pair of(String one, String other) {
      return one.compareTo(other) < 0 ? new Pair(one, other) : new Pair(other, one);
    }
  }
}

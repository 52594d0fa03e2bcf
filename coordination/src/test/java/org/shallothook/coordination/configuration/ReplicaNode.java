package org.shallothook.coordination.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.coordination.fake.FakeLog;
import org.shallothook.coordination.fake.VirtualTime;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.log.LogPage;

/**
 * A process with a replica and its pending publications, connected to a fake log and to other
 * nodes. Not thread-safe.
 */
final class ReplicaNode {
  static final long TICK_MICROS = 50_000;

  private final String name;
  private final VirtualTime time;
  private final FakeLog log;
  private final Map<String, ReplicaNode> nodes;
  private final ConfigurationOptions options;
  private ConfigurationReplica replica;
  private PendingPublications publications;
  private long incarnation;
  private long tokens;
  boolean isCutFromLog;
  final List<PublicationResult> results = new ArrayList<>();
  long highestOffsetSeen;
  long reversions;

  ReplicaNode(
      ConfigurationOptions options, VirtualTime time, FakeLog log, Map<String, ReplicaNode> nodes) {
    this.name = options.instance();
    this.options = options;
    this.time = time;
    this.log = log;
    this.nodes = nodes;
    nodes.put(name, this);
    restart();
  }

  ConfigurationReplica replica() {
    return replica;
  }

  void restart() {
    incarnation++;
    long current = incarnation;
    Outbox outbox = new NodeOutbox(current);
    replica = new ConfigurationReplica(outbox, options);
    publications = new PendingPublications(outbox, replica);
    highestOffsetSeen = 0;
    time.schedule(0, () -> tick(current));
  }

  void publish(ChangeRequest request, long timeoutMicros) {
    publications.publish(request, time.now() + timeoutMicros, results::add, time.now());
  }

  void sendTo(String peer, PeerMessage message) {
    Envelope envelope = new Envelope(name, incarnation, replica.offset(), message);
    time.schedule(1_000, () -> nodes.get(peer).receive(envelope));
  }

  private void receive(Envelope envelope) {
    replica.onEnvelope(envelope, time.now());
    countReversions();
  }

  private void tick(long tickIncarnation) {
    if (tickIncarnation == incarnation) {
      replica.onTick(time.now());
      publications.onTick(time.now());
      time.schedule(TICK_MICROS, () -> tick(tickIncarnation));
    }
  }

  /** Counts decreases of the offset within one incarnation. */
  private void countReversions() {
    reversions += replica.offset() < highestOffsetSeen ? 1 : 0;
    highestOffsetSeen = Math.max(highestOffsetSeen, replica.offset());
  }

  private final class NodeOutbox implements Outbox {
    private final long boundIncarnation;

    NodeOutbox(long boundIncarnation) {
      this.boundIncarnation = boundIncarnation;
    }

    @Override
    public void send(String peer, PeerMessage message) {
      sendTo(peer, message);
    }

    @Override
    public void readLog(String stream, long fromOffset) {
      if (isCutFromLog) {
        time.schedule(1_000, () -> ifCurrent(() -> replica.onLogReadFailed(stream, time.now())));
        return;
      }
      log.read(
          stream,
          fromOffset,
          page -> ifCurrent(() -> onLogPage(page)),
          () -> ifCurrent(() -> replica.onLogReadFailed(stream, time.now())));
    }

    @Override
    public long appendLog(AppendKind kind, String stream, String payload) {
      long token = tokens++;
      log.append(
          stream,
          payload,
          offset -> ifCurrent(() -> publications.onLogAppended(token, time.now())),
          may -> ifCurrent(() -> publications.onLogAppendFailed(token, may, time.now())));
      return token;
    }

    private void onLogPage(LogPage page) {
      replica.onLogRead(page, time.now());
      countReversions();
      publications.onTick(time.now());
    }

    private void ifCurrent(Runnable body) {
      if (boundIncarnation == incarnation) {
        body.run();
      }
    }
  }

  static Map<String, ReplicaNode> newNodes() {
    return new HashMap<>();
  }
}

package org.shallothook.coordination.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.configuration.ConfigurationLog;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.configuration.HistoryEntry;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/**
 * Replica of the configuration in one process, updated from the log and from peers.
 *
 * <p>Every envelope carries the offset of its sender. A process that receives a higher offset than
 * its own requests the missing records from the sender. A process that receives a lower one pushes
 * the missing records if they are small, and otherwise an empty message that announces its own
 * offset. The log is also polled. While it cannot be read, a few peers are polled instead, so that
 * changes reach processes without traffic too.
 *
 * <p>Invariant: the offset of the state never decreases, and {@link #isBehind} is true until the
 * replica has caught up once and while a peer has announced a higher offset. Not thread-safe: used
 * on the decision thread.
 */
public final class ConfigurationReplica {
  /** Stream of the log that holds the configuration. */
  public static final String STREAM = "configuration";

  /** Minimum time between two requests to peers, in microseconds. */
  static final long REQUEST_INTERVAL_MICROS = 100_000;

  /** Minimum time between two unsolicited messages to the same peer, in microseconds. */
  static final long UNSOLICITED_INTERVAL_MICROS = 100_000;

  /** Minimum time between two responses to the same peer, in microseconds. */
  static final long RESPONSE_INTERVAL_MICROS = 20_000;

  /** Mean time between two polls of peers while the log cannot be read, in microseconds. */
  static final long PEER_POLL_INTERVAL_MICROS = 500_000;

  /** Number of peers in each poll while the log cannot be read. */
  static final int PEERS_POLLED = 2;

  /** Maximum total size of records that are pushed to a peer unsolicited, in characters. */
  static final int UNSOLICITED_CHARACTERS = 4_096;

  /** Size above which a message takes no further record, in characters. */
  static final int MESSAGE_LIMIT_CHARACTERS = 262_144;

  private final Outbox outbox;
  private final ConfigurationOptions options;
  private final SplittableRandom random;
  private final SnapshotWriter snapshots;
  private final ConfigurationLog log;
  private final Map<String, Peer> peers = new TreeMap<>();
  private long cachedStateOffset;
  private long cachedEffectiveOffset;
  private boolean hasCaughtUp;
  private long highestAnnouncedOffset;
  private long firstRetainedOffset;
  private long nextPollMicros;
  private long nextRequestMicros;
  private boolean isLogUnreadable;
  private long nextPeerPollMicros;

  /** The latest offset announced by a peer, and when it may be sent records again. */
  private static final class Peer {
    private long incarnation = Long.MIN_VALUE;
    private long offset;
    private long nextUnsolicitedMicros;
    private long nextResponseMicros;
  }

  /** Creates an empty replica. */
  public ConfigurationReplica(Outbox outbox, ConfigurationOptions options) {
    this.outbox = Objects.requireNonNull(outbox, "outbox");
    this.options = Objects.requireNonNull(options, "options");
    this.log = new ConfigurationLog(options.holdsTexts());
    this.random = new SplittableRandom(options.instance().hashCode());
    this.snapshots = new SnapshotWriter(outbox, options);
  }

  /** Returns the configuration in force. */
  public ConfigurationState state() {
    return log.state();
  }

  /**
   * Returns the offset that messages carry: the one after the latest accepted change in force here.
   * Records without effect, such as snapshots, do not advance it.
   */
  public long offset() {
    ConfigurationState state = log.state();
    if (state.offset() != cachedStateOffset) {
      cachedStateOffset = state.offset();
      cachedEffectiveOffset = state.effectiveOffset();
    }
    return cachedEffectiveOffset;
  }

  /**
   * Returns whether work must be refused, because a peer announced a newer configuration or the
   * replica has not caught up yet.
   */
  public boolean isBehind() {
    return !hasCaughtUp || highestAnnouncedOffset > state().offset();
  }

  /** Returns the latest records of the stream, oldest first. */
  public List<HistoryEntry> history() {
    return log.history();
  }

  /** Returns the names of the peers that announced at least the given offset, sorted. */
  public List<String> peersAtOrAbove(long offset) {
    return peers.entrySet().stream()
        .filter(peer -> peer.getValue().offset >= offset)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the offset that each peer has announced, by name. */
  public Map<String, Long> peerOffsets() {
    Map<String, Long> offsets = new TreeMap<>();
    peers.forEach((name, peer) -> offsets.put(name, peer.offset));
    return offsets;
  }

  /** Returns how many malformed records were skipped. */
  public long invalidRecords() {
    return log.invalidRecords();
  }

  /** Returns how many changes were rejected because of another change of the same template. */
  public long conflicts() {
    return log.conflicts();
  }

  /** Returns how many records were appended for snapshots. */
  public long snapshotAppends() {
    return snapshots.appends();
  }

  /** Removes all peers except those with the given names, which are in the list of instances. */
  public void retainPeers(Set<String> names) {
    peers.keySet().retainAll(names);
  }

  /** Applies records read from the log. Pages of other streams are ignored. */
  public void onLogRead(LogPage page, long nowMicros) {
    if (!page.stream().equals(STREAM)) {
      return;
    }
    isLogUnreadable = false;
    firstRetainedOffset = page.firstRetained();
    log.apply(page.firstRetained(), page.records());
    boolean isAtEnd = page.nextOffset() >= page.end();
    if (!isAtEnd && !page.records().isEmpty()) {
      readNow(nowMicros);
      return;
    }
    if (log.isCollecting()) {
      log.stopCollecting();
      return;
    }
    hasCaughtUp = hasCaughtUp || state().offset() >= page.end();
  }

  /**
   * Handles the failure of a read: peers are polled until the log can be read again. The next read
   * follows after the usual interval. Failures of other streams are ignored.
   */
  public void onLogReadFailed(String stream, long nowMicros) {
    if (stream.equals(STREAM)) {
      isLogUnreadable = true;
      log.stopCollecting();
      nextPollMicros = Math.max(nextPollMicros, nowMicros + jittered(options.pollIntervalMicros()));
    }
  }

  /**
   * Records the offset that a message carries, and handles requests for records and the records
   * themselves. Sends records to the sender, or requests them, if the offsets differ.
   */
  public void onEnvelope(Envelope envelope, long nowMicros) {
    recordPeerOffset(envelope);
    if (envelope.message() instanceof PeerMessage.ConfigurationRecords records) {
      applyPeerRecords(records.records());
    } else if (envelope.message() instanceof PeerMessage.ConfigurationRequest request) {
      sendRequestedRecords(envelope.sender(), request.fromOffset(), nowMicros);
      return;
    }
    if (envelope.configurationOffset() > state().offset()) {
      requestRecords(envelope.sender(), nowMicros);
    } else if (envelope.configurationOffset() < offset()) {
      pushRecords(envelope.sender(), envelope.configurationOffset(), nowMicros);
    }
  }

  /**
   * Polls the log or peers, requests records while behind a peer, and writes snapshots, as each is
   * due.
   */
  public void onTick(long nowMicros) {
    if (nowMicros >= nextPollMicros) {
      readNow(nowMicros);
    }
    if (isLogUnreadable && nowMicros >= nextPeerPollMicros) {
      pollPeers(nowMicros);
    }
    if (highestAnnouncedOffset > state().offset() && nowMicros >= nextRequestMicros) {
      peersAtOrAbove(state().offset() + 1).stream()
          .skip(random.nextInt(Math.max(1, peersAtOrAbove(state().offset() + 1).size())))
          .findFirst()
          .ifPresent(peer -> requestRecords(peer, nowMicros));
    }
    if (options.writesSnapshots() && !isBehind()) {
      snapshots.onTick(log, firstRetainedOffset, nowMicros);
    }
  }

  /** Reads the log immediately, and again after the usual interval. */
  void readNow(long nowMicros) {
    nextPollMicros = nowMicros + jittered(options.pollIntervalMicros());
    outbox.readLog(STREAM, log.nextOffset());
  }

  ConfigurationLog log() {
    return log;
  }

  private void recordPeerOffset(Envelope envelope) {
    Peer peer = peers.computeIfAbsent(envelope.sender(), name -> new Peer());
    if (envelope.senderIncarnation() > peer.incarnation) {
      peer.incarnation = envelope.senderIncarnation();
      peer.offset = envelope.configurationOffset();
    } else if (envelope.senderIncarnation() == peer.incarnation) {
      peer.offset = Math.max(peer.offset, envelope.configurationOffset());
    }
    highestAnnouncedOffset = Math.max(highestAnnouncedOffset, envelope.configurationOffset());
  }

  private void applyPeerRecords(List<LogRecord> records) {
    if (records.isEmpty()) {
      return;
    }
    log.apply(records.get(0).offset(), records);
    hasCaughtUp = hasCaughtUp || (offset() > 0 && state().offset() >= highestAnnouncedOffset);
  }

  private void requestRecords(String peer, long nowMicros) {
    if (nowMicros >= nextRequestMicros) {
      nextRequestMicros = nowMicros + REQUEST_INTERVAL_MICROS;
      outbox.send(peer, new PeerMessage.ConfigurationRequest(log.nextOffset()));
    }
  }

  private void pollPeers(long nowMicros) {
    nextPeerPollMicros = nowMicros + jittered(PEER_POLL_INTERVAL_MICROS);
    List<String> names = new ArrayList<>(peers.keySet());
    for (int polled = 0; polled < PEERS_POLLED && !names.isEmpty(); polled++) {
      String peer = names.remove(random.nextInt(names.size()));
      outbox.send(peer, new PeerMessage.ConfigurationRequest(log.nextOffset()));
    }
  }

  private void sendRequestedRecords(String name, long fromOffset, long nowMicros) {
    Peer peer = peers.get(name);
    if (nowMicros >= peer.nextResponseMicros) {
      peer.nextResponseMicros = nowMicros + RESPONSE_INTERVAL_MICROS;
      sendInChunks(name, log.recordsFrom(fromOffset));
    }
  }

  /** Pushes the missing records if they are small, otherwise an empty message with the offset. */
  private void pushRecords(String name, long fromOffset, long nowMicros) {
    Peer peer = peers.get(name);
    if (nowMicros < peer.nextUnsolicitedMicros) {
      return;
    }
    peer.nextUnsolicitedMicros = nowMicros + UNSOLICITED_INTERVAL_MICROS;
    List<LogRecord> records = log.recordsFrom(fromOffset);
    long characters = records.stream().mapToLong(record -> record.payload().length()).sum();
    sendInChunks(name, characters > UNSOLICITED_CHARACTERS ? List.of() : records);
  }

  private void sendInChunks(String peer, List<LogRecord> records) {
    List<LogRecord> chunk = new ArrayList<>();
    int characters = 0;
    for (LogRecord record : records) {
      chunk.add(record);
      characters += record.payload().length();
      if (characters >= MESSAGE_LIMIT_CHARACTERS) {
        outbox.send(peer, new PeerMessage.ConfigurationRecords(chunk));
        chunk.clear();
        characters = 0;
      }
    }
    if (!chunk.isEmpty() || records.isEmpty()) {
      outbox.send(peer, new PeerMessage.ConfigurationRecords(chunk));
    }
  }

  /** Returns a random interval between 0.5 and 1.5 times the mean. */
  private long jittered(long meanMicros) {
    return meanMicros / 2 + random.nextLong(meanMicros + 1);
  }
}

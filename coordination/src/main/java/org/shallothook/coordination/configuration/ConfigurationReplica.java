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
 * A process's copy of the configuration, kept up to date from the log and from peers.
 *
 * <p>Every envelope names its sender's offset. A process that hears of a higher one than its own
 * asks that sender for the records between; a process that hears of a lower one sends them where
 * they are small, and otherwise only lets its own offset be heard. The log is polled besides; while
 * it cannot be read, some peers are asked instead, so that a change also reaches idle processes.
 *
 * <p>Invariant: the state's offset never falls, and {@link #isBehind} holds while a higher one has
 * been heard of or nothing is known yet. Not thread-safe: used on the decision thread.
 */
public final class ConfigurationReplica {
  /** Stream of the log that holds the configuration. */
  public static final String STREAM = "configuration";

  /** Shortest time between two requests to peers, in microseconds. */
  static final long REQUEST_INTERVAL_MICROS = 100_000;

  /** Shortest time between two messages to one peer that it did not ask for, in microseconds. */
  static final long UNASKED_INTERVAL_MICROS = 100_000;

  /** Shortest time between two answers to requests of one peer, in microseconds. */
  static final long ANSWER_INTERVAL_MICROS = 20_000;

  /** Mean time between two questions to peers while the log cannot be read, in microseconds. */
  static final long PEER_POLL_INTERVAL_MICROS = 500_000;

  /** Number of peers asked at once while the log cannot be read. */
  static final int PEERS_POLLED = 2;

  /** Greatest size of records sent to a peer that did not ask, in characters. */
  static final int UNASKED_CHARACTERS = 4_096;

  /** Size above which a message takes no further record, in characters. */
  static final int MESSAGE_CHARACTERS = 262_144;

  private final Outbox outbox;
  private final ConfigurationOptions options;
  private final SplittableRandom random;
  private final SnapshotWriter snapshots;
  private final ConfigurationLog log;
  private final Map<String, Peer> peers = new TreeMap<>();
  private long effectiveAtOffset;
  private long effectiveOffset;
  private boolean isInformed;
  private long heardOffset;
  private long firstInLog;
  private long nextPollMicros;
  private long nextRequestMicros;
  private boolean isLogUnreadable;
  private long nextPeerPollMicros;

  /** What is known of a peer, and when it may be sent records again. */
  private static final class Peer {
    private long incarnation = Long.MIN_VALUE;
    private long offset;
    private long nextUnaskedMicros;
    private long nextAnswerMicros;
  }

  /** Creates a replica that knows nothing yet. */
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
   * Returns the offset that messages carry: the one just above the latest accepted change in force
   * here. Records without effect, such as snapshots, do not move it.
   */
  public long offset() {
    ConfigurationState state = log.state();
    if (state.offset() != effectiveAtOffset) {
      effectiveAtOffset = state.offset();
      effectiveOffset = state.effectiveOffset();
    }
    return effectiveOffset;
  }

  /**
   * Returns whether work must be refused, because a newer configuration exists or none is known.
   */
  public boolean isBehind() {
    return !isInformed || heardOffset > state().offset();
  }

  /** Returns the newest records of the stream, oldest first. */
  public List<HistoryEntry> history() {
    return log.history();
  }

  /** Returns the names of the peers that were heard to have an offset in force, in order. */
  public List<String> peersAtOrAbove(long offset) {
    return peers.entrySet().stream()
        .filter(peer -> peer.getValue().offset >= offset)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the offset last heard from each peer. */
  public Map<String, Long> peerOffsets() {
    Map<String, Long> offsets = new TreeMap<>();
    peers.forEach((name, peer) -> offsets.put(name, peer.offset));
    return offsets;
  }

  /** Returns how many faulty records were skipped. */
  public long faultyRecords() {
    return log.faultyRecords();
  }

  /** Returns how many changes lost against another change of the same template. */
  public long conflicts() {
    return log.conflicts();
  }

  /** Returns how many records were appended for snapshots. */
  public long snapshotAppends() {
    return snapshots.appends();
  }

  /** Forgets peers that are no longer in the list of instances. */
  public void retainPeers(Set<String> names) {
    peers.keySet().retainAll(names);
  }

  /** Takes records read from the log. Pages of other streams are ignored. */
  public void onLogRead(LogPage page, long nowMicros) {
    if (!page.stream().equals(STREAM)) {
      return;
    }
    isLogUnreadable = false;
    firstInLog = page.firstRetained();
    log.take(page.firstRetained(), page.records());
    boolean isAtEnd = page.nextOffset() >= page.end();
    if (!isAtEnd && !page.records().isEmpty()) {
      readNow(nowMicros);
      return;
    }
    if (log.isCollecting()) {
      log.stopCollecting();
      return;
    }
    isInformed = isInformed || state().offset() >= page.end();
  }

  /** Notes that a read failed; the next one follows at the usual interval. */
  public void onLogReadFailed(String stream, long nowMicros) {
    if (stream.equals(STREAM)) {
      isLogUnreadable = true;
      log.stopCollecting();
      nextPollMicros = Math.max(nextPollMicros, nowMicros + jittered(options.pollIntervalMicros()));
    }
  }

  /** Takes what every message tells of its sender, and messages about the configuration. */
  public void onEnvelope(Envelope envelope, long nowMicros) {
    notePeer(envelope);
    if (envelope.message() instanceof PeerMessage.ConfigurationRecords records) {
      takeFromPeer(records.records());
    } else if (envelope.message() instanceof PeerMessage.ConfigurationRequest request) {
      answer(envelope.sender(), request.fromOffset(), nowMicros);
      return;
    }
    if (envelope.configurationOffset() > state().offset()) {
      request(envelope.sender(), nowMicros);
    } else if (envelope.configurationOffset() < offset()) {
      tell(envelope.sender(), envelope.configurationOffset(), nowMicros);
    }
  }

  /** Polls the log or peers, asks peers while behind, and writes snapshots when due. */
  public void onTick(long nowMicros) {
    if (nowMicros >= nextPollMicros) {
      readNow(nowMicros);
    }
    if (isLogUnreadable && nowMicros >= nextPeerPollMicros) {
      pollPeers(nowMicros);
    }
    if (heardOffset > state().offset() && nowMicros >= nextRequestMicros) {
      peersAtOrAbove(state().offset() + 1).stream()
          .skip(random.nextInt(Math.max(1, peersAtOrAbove(state().offset() + 1).size())))
          .findFirst()
          .ifPresent(peer -> request(peer, nowMicros));
    }
    if (options.writesSnapshots() && !isBehind()) {
      snapshots.onTick(log, firstInLog, nowMicros);
    }
  }

  /** Reads the log at once, and again after the usual interval. */
  void readNow(long nowMicros) {
    nextPollMicros = nowMicros + jittered(options.pollIntervalMicros());
    outbox.readLog(STREAM, log.nextOffset());
  }

  ConfigurationLog log() {
    return log;
  }

  private void notePeer(Envelope envelope) {
    Peer peer = peers.computeIfAbsent(envelope.sender(), name -> new Peer());
    if (envelope.senderIncarnation() > peer.incarnation) {
      peer.incarnation = envelope.senderIncarnation();
      peer.offset = envelope.configurationOffset();
    } else if (envelope.senderIncarnation() == peer.incarnation) {
      peer.offset = Math.max(peer.offset, envelope.configurationOffset());
    }
    heardOffset = Math.max(heardOffset, envelope.configurationOffset());
  }

  private void takeFromPeer(List<LogRecord> records) {
    if (records.isEmpty()) {
      return;
    }
    log.take(records.get(0).offset(), records);
    isInformed = isInformed || (offset() > 0 && state().offset() >= heardOffset);
  }

  private void request(String peer, long nowMicros) {
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

  private void answer(String name, long fromOffset, long nowMicros) {
    Peer peer = peers.get(name);
    if (nowMicros >= peer.nextAnswerMicros) {
      peer.nextAnswerMicros = nowMicros + ANSWER_INTERVAL_MICROS;
      sendInPieces(name, log.recordsFrom(fromOffset));
    }
  }

  private void tell(String name, long fromOffset, long nowMicros) {
    Peer peer = peers.get(name);
    if (nowMicros < peer.nextUnaskedMicros) {
      return;
    }
    peer.nextUnaskedMicros = nowMicros + UNASKED_INTERVAL_MICROS;
    List<LogRecord> records = log.recordsFrom(fromOffset);
    long characters = records.stream().mapToLong(record -> record.payload().length()).sum();
    sendInPieces(name, characters > UNASKED_CHARACTERS ? List.of() : records);
  }

  private void sendInPieces(String peer, List<LogRecord> records) {
    List<LogRecord> piece = new ArrayList<>();
    int characters = 0;
    for (LogRecord record : records) {
      piece.add(record);
      characters += record.payload().length();
      if (characters >= MESSAGE_CHARACTERS) {
        outbox.send(peer, new PeerMessage.ConfigurationRecords(piece));
        piece.clear();
        characters = 0;
      }
    }
    if (!piece.isEmpty() || records.isEmpty()) {
      outbox.send(peer, new PeerMessage.ConfigurationRecords(piece));
    }
  }

  /** Returns an interval between half of the mean and one and a half. */
  private long jittered(long meanMicros) {
    return meanMicros / 2 + random.nextLong(meanMicros + 1);
  }
}

package org.shallothook.coordination.registry;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.collection.BoundedMaps;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.log.LogRecord;
import org.shallothook.state.log.RecordVersions;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;

/**
 * Follows the streams of the store and gossips the records of operators to peers.
 *
 * <p>Handles a store that refuses some machines and serves the others: a process that reads a
 * change sends it to a few peers, and a process that cannot read requests changes from a few peers,
 * so that a change reaches every process within a few rounds. If the store is restored from an
 * older copy, all streams are read anew, and what this process wrote and the copy lacks is written
 * again; a process that cannot read the store learns of the restore from its peers.
 *
 * <p>Invariant: a value is never replaced by an older one, whatever its source. Not thread-safe:
 * one decision thread owns it.
 */
public final class RegistryCore {
  /** Peers that a change is sent to, and that a request for changes is sent to. */
  private static final int FAN_OUT = 3;

  /** Time between two requests to peers while the store cannot be read. */
  private static final long REQUEST_INTERVAL_MICROS = 300_000;

  /** Time between two attempts to write the membership record of this process. */
  private static final long MEMBER_PUT_INTERVAL_MICROS = 1_000_000;

  /** Time between two attempts to write another record. */
  private static final long PUT_INTERVAL_MICROS = 3_000_000;

  /** Maximum number of records that wait to be written; the oldest is given up first. */
  private static final int MAXIMUM_PENDING_PUTS = 256;

  /** Time without messages to an unreachable peer; doubled for each further failure. */
  private static final long INITIAL_PEER_PAUSE_MICROS = 500_000;

  private static final int MAXIMUM_DOUBLINGS = 5;

  private static final ReadFailure EARLIER_ERA =
      ReadFailure.of("the answer is older than the restore of the store");

  /** Separates key and value in a record sent to a peer; not part of either. */
  private static final char SEPARATOR = '\n';

  private final RegistryOptions options;
  private final Consumer<RegistryCommand> commands;
  private final RegistryListener listener;
  private final SplittableRandom random;
  private final Map<RegistryStream, KeyedFollower> followers = new EnumMap<>(RegistryStream.class);
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Map<StreamKey, PendingPut> pendingPuts = new LinkedHashMap<>();
  private final WrittenRecords writtenRecords = new WrittenRecords();
  private final Set<RegistryStream> restored = EnumSet.noneOf(RegistryStream.class);
  private final Interruptions interruptions = new Interruptions();
  private long era;
  private boolean isStoreReachable;
  private boolean isMemberWritten;
  private boolean isMemberPutOutstanding;
  private long nextMemberPutMicros;
  private long nextRequestMicros;

  private record StreamKey(RegistryStream stream, String key) {}

  /** A write that is not known to be done; {@code nextAtMicros} is when it is tried next. */
  private record PendingPut(Optional<String> value, long nextAtMicros) {}

  private static final class Peer {
    private Optional<Instance> instance = Optional.empty();
    private InstanceRole role = InstanceRole.ROUTER;
    private long pausedUntilMicros;
    private int consecutiveFailures;
  }

  /** Creates a core that has read nothing. */
  public RegistryCore(
      RegistryOptions options, Consumer<RegistryCommand> commands, RegistryListener listener) {
    this.options = Objects.requireNonNull(options, "options");
    this.commands = Objects.requireNonNull(commands, "commands");
    this.listener = Objects.requireNonNull(listener, "listener");
    this.random = new SplittableRandom(options.seed());
    options
        .policies()
        .forEach(
            (stream, policy) ->
                followers.put(
                    stream,
                    new KeyedFollower(
                        stream,
                        policy,
                        options.versions().getOrDefault(stream, RecordVersions.NONE),
                        random.split())));
  }

  /** Returns the offset below which all records of the operator stream are known. */
  public long configurationOffset() {
    return operatorFollower().state().nextOffset();
  }

  /**
   * Returns the names of all known routers, including this process if it is one; empty until all
   * membership records are known, as a part of the fleet would be taken for a smaller one.
   */
  public Optional<List<String>> routers() {
    if (!followers.get(RegistryStream.MEMBERS).isComplete()) {
      return Optional.empty();
    }
    List<String> names = new ArrayList<>();
    if (options.self().role() == InstanceRole.ROUTER) {
      names.add(options.self().name());
    }
    peers.entrySet().stream()
        .filter(peer -> peer.getValue().role == InstanceRole.ROUTER)
        .map(Map.Entry::getKey)
        .forEach(names::add);
    return Optional.of(names);
  }

  /** Returns whether a peer is a router; an unknown peer is assumed to be one. */
  public boolean isRouter(String peer) {
    return !peers.containsKey(peer) || peers.get(peer).role == InstanceRole.ROUTER;
  }

  /** Returns the names of the other routers that can be reached. */
  public List<String> reachableRouters(long nowMicros) {
    return reachablePeers(nowMicros).stream().filter(this::isRouter).toList();
  }

  /** Makes the next read of a stream due immediately. */
  public void readSoon(RegistryStream stream, long nowMicros) {
    followers.get(stream).readSoon(nowMicros);
    readDue(nowMicros);
  }

  /**
   * Writes the value of a key, and tries again until that has succeeded or the key is written anew.
   *
   * @param value value to write; empty removes the key
   */
  public void put(RegistryStream stream, String key, Optional<String> value, long nowMicros) {
    StreamKey streamKey = new StreamKey(stream, key);
    BoundedMaps.putNewest(
        pendingPuts, streamKey, new PendingPut(value, nowMicros), MAXIMUM_PENDING_PUTS);
    putDue(nowMicros);
  }

  /**
   * Writes the values of keys once, all or none; the listener learns how that ended. A key without
   * a value is removed.
   */
  public void append(RegistryStream stream, Map<String, Optional<String>> values) {
    commands.accept(new RegistryCommand.Append(stream, values, Optional.empty()));
  }

  /**
   * Writes the values of keys once, all or none, unless the stream has records that are not known
   * here. The listener learns how that ended; nothing happens while the stream is scanned.
   */
  public void appendIfAllKnown(RegistryStream stream, Map<String, Optional<String>> values) {
    followers
        .get(stream)
        .endOffset()
        .ifPresent(
            end -> commands.accept(new RegistryCommand.Append(stream, values, Optional.of(end))));
  }

  /**
   * Returns a time such that every record of a stream that was written before it is known; empty if
   * the stream has not been read.
   */
  public Optional<Long> completeUntilMicros(RegistryStream stream) {
    return followers.get(stream).completeUntilMicros();
  }

  /** Handles one event. */
  public void handle(RegistryEvent event, long nowMicros) {
    noticeInterruption(nowMicros);
    if (event instanceof RegistryEvent.PageRead read) {
      onEra(read.era(), nowMicros);
      onPage(read, nowMicros);
    } else if (event instanceof RegistryEvent.StreamRead read) {
      onEra(read.era(), nowMicros);
      onRead(read, nowMicros);
    } else if (event instanceof RegistryEvent.MemberPut put) {
      onEra(put.era(), nowMicros);
      isMemberPutOutstanding = false;
      isMemberWritten |= put.isSuccessful() && !isOfEarlierEra(put.era());
      nextMemberPutMicros = nowMicros + MEMBER_PUT_INTERVAL_MICROS;
    } else if (event instanceof RegistryEvent.PutEnded put) {
      onEra(put.era(), nowMicros);
      if (put.isSuccessful() && !isOfEarlierEra(put.era())) {
        onWritten(new StreamKey(put.stream(), put.key()));
      }
    } else if (event instanceof RegistryEvent.AppendEnded append) {
      onEra(append.era(), nowMicros);
      boolean isDone = append.isSuccessful() && !isOfEarlierEra(append.era());
      listener.onAppended(append.stream(), isDone, nowMicros);
    } else if (event instanceof RegistryEvent.PeerMessageReceived received) {
      onEnvelope(received.envelope(), nowMicros);
    } else if (event instanceof RegistryEvent.PeerUnreachable unreachable) {
      onUnreachable(unreachable.peer(), nowMicros);
    }
    updateStoreReachability(nowMicros);
    readDue(nowMicros);
  }

  /** Issues the writes, requests and reads that are due. */
  public void onTick(long nowMicros) {
    noticeInterruption(nowMicros);
    if (!isMemberWritten && !isMemberPutOutstanding && nowMicros >= nextMemberPutMicros) {
      isMemberPutOutstanding = true;
      commands.accept(new RegistryCommand.PutMember(options.self()));
    }
    if (!isStoreReachable && nowMicros >= nextRequestMicros) {
      nextRequestMicros = nowMicros + REQUEST_INTERVAL_MICROS;
      requestFromRandomPeers(nowMicros);
    }
    putDue(nowMicros);
    readDue(nowMicros);
  }

  /** Records the address of another process; ignores that of this process. */
  public void onMember(Instance instance, long nowMicros) {
    if (instance.name().equals(options.self().name())) {
      return;
    }
    Peer peer = peers.computeIfAbsent(instance.name(), name -> new Peer());
    if (peer.instance.filter(instance::equals).isEmpty()) {
      peer.instance = Optional.of(instance);
      peer.role = instance.role();
      peer.pausedUntilMicros = nowMicros;
      peer.consecutiveFailures = 0;
      commands.accept(
          new RegistryCommand.PeersChanged(
              peers.values().stream().flatMap(one -> one.instance.stream()).toList()));
    }
  }

  /** Sends a message to each process that can be reached. */
  public void sendToAll(PeerMessage message, long nowMicros) {
    reachablePeers(nowMicros).forEach(name -> send(name, message));
  }

  /** Sends a message to each router that can be reached. */
  public void sendToRouters(PeerMessage message, long nowMicros) {
    reachableRouters(nowMicros).forEach(name -> send(name, message));
  }

  private void noticeInterruption(long nowMicros) {
    interruptions
        .onRunning(nowMicros)
        .ifPresent(micros -> listener.onInterrupted(micros, nowMicros));
  }

  /** Notices that the store was restored since its last answer. */
  private void onEra(Optional<Long> answered, long nowMicros) {
    if (answered.filter(newer -> newer > era).isEmpty()) {
      return;
    }
    boolean isRestored = era != 0;
    era = answered.get();
    if (isRestored) {
      listener.onStoreRestored(era, offsets(), nowMicros);
      isMemberWritten = false;
      nextMemberPutMicros = nowMicros;
      restored.addAll(followers.keySet());
    }
    followers.values().forEach(follower -> follower.onEra(era, nowMicros));
  }

  private void onWritten(StreamKey target) {
    PendingPut done = pendingPuts.remove(target);
    if (done != null) {
      writtenRecords.onWritten(target.stream(), target.key(), done.value());
    }
  }

  private boolean isOfEarlierEra(Optional<Long> answered) {
    return answered.filter(older -> older < era).isPresent();
  }

  /** Returns the result of a read, or a failure if the answer is of an earlier era. */
  private <T> Either<ReadFailure, T> ofPresentEra(
      Optional<Long> answered, Either<ReadFailure, T> result) {
    return isOfEarlierEra(answered) ? Either.left(EARLIER_ERA) : result;
  }

  /** Returns the next offset of each stream, for the log. */
  private String offsets() {
    return followers.entrySet().stream()
        .map(one -> one.getKey() + "=" + one.getValue().state().nextOffset())
        .collect(Collectors.joining(" "));
  }

  private void onPage(RegistryEvent.PageRead read, long nowMicros) {
    KeyedFollower follower = followers.get(read.stream());
    if (!follower.isExpectedPage(read.afterKey())) {
      return;
    }
    boolean isFirstScan = !follower.isComplete();
    WrittenTime written = writtenTime(follower, nowMicros);
    List<KeyedRecord> changes = follower.onPage(ofPresentEra(read.era(), read.result()), nowMicros);
    if (!restored.contains(read.stream())) {
      writtenRecords.onChanges(read.stream(), changes);
    } else if (!follower.isScanning()) {
      restored.remove(read.stream());
      writtenRecords
          .missingIn(read.stream(), follower)
          .forEach(missing -> put(read.stream(), missing.key(), missing.value(), nowMicros));
    }
    boolean completesFirstScan = isFirstScan && follower.isComplete();
    distributeChanges(
        new RegistryChanges(read.stream(), changes, completesFirstScan, written),
        !isFirstScan,
        nowMicros);
  }

  private void onRead(RegistryEvent.StreamRead read, long nowMicros) {
    KeyedFollower follower = followers.get(read.stream());
    if (!follower.isExpectedRead(read.fromOffset())) {
      return;
    }
    WrittenTime written = writtenTime(follower, nowMicros);
    List<KeyedRecord> changes = follower.onRead(ofPresentEra(read.era(), read.result()), nowMicros);
    writtenRecords.onChanges(read.stream(), changes);
    distributeChanges(new RegistryChanges(read.stream(), changes, false, written), true, nowMicros);
  }

  /** Returns when the records were written that the outstanding read of a follower returns. */
  private WrittenTime writtenTime(KeyedFollower follower, long nowMicros) {
    long arrivalMicros = interruptions.earliestArrivalMicros(nowMicros);
    return new WrittenTime(
        follower.writtenAfterMicros(arrivalMicros), disruptedUntilMicros(follower));
  }

  private long disruptedUntilMicros(KeyedFollower follower) {
    return Math.max(interruptions.endedMicros(), follower.latestFailureMicros());
  }

  /**
   * Hands changes to the listener.
   *
   * @param areNews whether peers may lack them, unlike what the first scan of this process finds
   */
  private void distributeChanges(RegistryChanges changes, boolean areNews, long nowMicros) {
    if (changes.records().isEmpty() && !changes.completesFirstScan()) {
      return;
    }
    listener.onChanges(changes, nowMicros);
    if (changes.stream() == RegistryStream.OPERATOR && areNews) {
      PeerMessage message = recordsOf(era, changes.records());
      randomPeers(nowMicros).forEach(name -> send(name, message));
    }
    if (changes.stream() == RegistryStream.MEMBERS && changes.completesFirstScan()) {
      requestFromAllPeers(nowMicros);
    }
  }

  /**
   * Requests changes from all peers, which also makes this process known to them: they may not have
   * read its membership record yet.
   */
  private void requestFromAllPeers(long nowMicros) {
    PeerMessage request = new PeerMessage.ConfigurationRequest(configurationOffset(), era);
    reachablePeers(nowMicros).forEach(name -> send(name, request));
  }

  private void onEnvelope(Envelope envelope, long nowMicros) {
    Peer sender = peers.computeIfAbsent(envelope.sender(), name -> new Peer());
    sender.consecutiveFailures = 0;
    sender.pausedUntilMicros = nowMicros;
    PeerMessage message = envelope.message();
    if (message instanceof PeerMessage.Hello hello) {
      sender.role = hello.role();
    } else if (message instanceof PeerMessage.ConfigurationRequest request) {
      onEra(Optional.of(request.era()), nowMicros);
      operatorFollower()
          .state()
          .since(request.era(), request.fromOffset())
          .forEach((recordEra, records) -> send(envelope.sender(), recordsOf(recordEra, records)));
    } else if (message instanceof PeerMessage.ConfigurationRecords records) {
      onRecords(records, nowMicros);
    } else {
      listener.onMessage(envelope, nowMicros);
    }
  }

  private void onRecords(PeerMessage.ConfigurationRecords message, long nowMicros) {
    List<KeyedRecord> received = new ArrayList<>();
    for (LogRecord record : message.records()) {
      int separator = record.payload().indexOf(SEPARATOR);
      if (separator > 0) {
        String key = record.payload().substring(0, separator);
        String value = record.payload().substring(separator + 1);
        received.add(
            new KeyedRecord(
                record.offset(), key, value.isEmpty() ? Optional.empty() : Optional.of(value)));
      }
    }
    onEra(Optional.of(message.era()), nowMicros);
    List<KeyedRecord> changes = operatorFollower().state().applyFromPeer(received, message.era());
    if (!changes.isEmpty()) {
      // A complete read of the present era does not show what the store lost in a restore.
      Optional<Long> writtenAfterMicros =
          message.era() == era ? operatorFollower().completeUntilMicros() : Optional.empty();
      WrittenTime written =
          new WrittenTime(writtenAfterMicros, disruptedUntilMicros(operatorFollower()));
      listener.onChanges(
          new RegistryChanges(RegistryStream.OPERATOR, changes, false, written), nowMicros);
    }
  }

  private static PeerMessage recordsOf(long recordEra, List<KeyedRecord> records) {
    return new PeerMessage.ConfigurationRecords(
        records.stream()
            .map(
                record ->
                    new LogRecord(
                        record.offset(), 0, record.key() + SEPARATOR + record.value().orElse("")))
            .toList(),
        recordEra);
  }

  private void requestFromRandomPeers(long nowMicros) {
    PeerMessage request = new PeerMessage.ConfigurationRequest(configurationOffset(), era);
    randomPeers(nowMicros).forEach(name -> send(name, request));
  }

  private List<String> randomPeers(long nowMicros) {
    List<String> names = new ArrayList<>(reachablePeers(nowMicros));
    List<String> chosen = new ArrayList<>();
    while (chosen.size() < FAN_OUT && !names.isEmpty()) {
      chosen.add(names.remove(random.nextInt(names.size())));
    }
    return chosen;
  }

  private List<String> reachablePeers(long nowMicros) {
    return peers.entrySet().stream()
        .filter(peer -> nowMicros >= peer.getValue().pausedUntilMicros)
        .map(Map.Entry::getKey)
        .toList();
  }

  private void onUnreachable(String name, long nowMicros) {
    Peer peer = peers.get(name);
    if (peer != null) {
      int doublings = Math.min(MAXIMUM_DOUBLINGS, peer.consecutiveFailures);
      peer.consecutiveFailures++;
      peer.pausedUntilMicros = nowMicros + (INITIAL_PEER_PAUSE_MICROS << doublings);
    }
  }

  private void updateStoreReachability(long nowMicros) {
    KeyedFollower follower = operatorFollower();
    boolean isReadable = follower.isComplete() && !follower.isFailing();
    if (isReadable != isStoreReachable) {
      isStoreReachable = isReadable;
      listener.onReachabilityChanged(isReadable, nowMicros);
    }
  }

  private void putDue(long nowMicros) {
    pendingPuts.replaceAll(
        (target, put) -> {
          if (nowMicros < put.nextAtMicros()) {
            return put;
          }
          commands.accept(new RegistryCommand.Put(target.stream(), target.key(), put.value()));
          return new PendingPut(put.value(), nowMicros + PUT_INTERVAL_MICROS);
        });
  }

  private void readDue(long nowMicros) {
    followers.values().forEach(follower -> follower.nextRead(nowMicros).ifPresent(commands));
  }

  private void send(String peer, PeerMessage message) {
    commands.accept(new RegistryCommand.SendToPeer(peer, message, configurationOffset()));
  }

  private KeyedFollower operatorFollower() {
    return followers.get(RegistryStream.OPERATOR);
  }
}

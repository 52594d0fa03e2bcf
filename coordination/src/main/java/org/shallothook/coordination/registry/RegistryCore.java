package org.shallothook.coordination.registry;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.log.LogRecord;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;

/**
 * Follows the streams of the store and shares what operators publish with peers.
 *
 * <p>Pattern answered: the store turns some machines away and serves the others. Whoever reads a
 * change tells a few peers, and whoever cannot read asks a few, so that a change is everywhere
 * within a few rounds.
 *
 * <p>Invariant: a value is never replaced by an older one, whoever tells it. Not thread-safe: one
 * decision thread owns it.
 */
public final class RegistryCore {
  /** Peers that a change is told to, and that are asked at once. */
  private static final int FAN_OUT = 3;

  /** Time between two questions to peers while the store cannot be read. */
  private static final long ASK_INTERVAL_MICROS = 300_000;

  /** Time between two tries to write the own place. */
  private static final long PUT_INTERVAL_MICROS = 1_000_000;

  /** Time that a peer which cannot be reached is left alone; doubled for each further failure. */
  private static final long PEER_PAUSE_MICROS = 500_000;

  private static final int MOST_DOUBLINGS = 5;

  /** Separates key and value in a record that is told to a peer; part of neither. */
  private static final char SEPARATOR = '\n';

  private final RegistryOptions options;
  private final Consumer<RegistryCommand> commands;
  private final RegistryListener listener;
  private final SplittableRandom random;
  private final Map<RegistryStream, KeyedFollower> followers = new EnumMap<>(RegistryStream.class);
  private final Map<String, Peer> peers = new TreeMap<>();
  private boolean isReachable;
  private boolean isMemberWritten;
  private boolean isPutting;
  private long nextPutMicros;
  private long nextAskMicros;

  private static final class Peer {
    private Optional<Instance> instance = Optional.empty();
    private InstanceRole role = InstanceRole.ROUTER;
    private long pausedUntilMicros;
    private int failuresInRow;
  }

  /** Creates a part that has read nothing. */
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
                followers.put(stream, new KeyedFollower(stream, policy, random.split())));
  }

  /** Returns the offset below which the operator's stream is known. */
  public long configurationOffset() {
    return operator().state().nextOffset();
  }

  /** Returns the number of routers known, this process included if it is one. */
  public int routers() {
    long others = peers.values().stream().filter(peer -> peer.role == InstanceRole.ROUTER).count();
    return (int) others + (options.self().role() == InstanceRole.ROUTER ? 1 : 0);
  }

  /** Returns whether a peer is a router; one that is not known is taken for one. */
  public boolean isRouter(String peer) {
    return !peers.containsKey(peer) || peers.get(peer).role == InstanceRole.ROUTER;
  }

  /** Returns the names of the other routers that can be reached. */
  public List<String> reachableRouters(long nowMicros) {
    return reachablePeers(nowMicros).stream().filter(this::isRouter).toList();
  }

  /** Makes the next read of a stream due at once. */
  public void readSoon(RegistryStream stream, long nowMicros) {
    followers.get(stream).hurry(nowMicros);
    readDue(nowMicros);
  }

  /** Reacts to one event. */
  public void handle(RegistryEvent event, long nowMicros) {
    if (event instanceof RegistryEvent.PageRead read) {
      onPage(read, nowMicros);
    } else if (event instanceof RegistryEvent.StreamRead read) {
      KeyedFollower follower = followers.get(read.stream());
      List<KeyedRecord> changes = follower.onRead(read.answer(), nowMicros);
      tell(read.stream(), changes, false, nowMicros);
    } else if (event instanceof RegistryEvent.MemberPut put) {
      isPutting = false;
      isMemberWritten |= put.isDone();
      nextPutMicros = nowMicros + PUT_INTERVAL_MICROS;
    } else if (event instanceof RegistryEvent.PeerMessageReceived received) {
      onEnvelope(received.envelope(), nowMicros);
    } else if (event instanceof RegistryEvent.PeerUnreachable unreachable) {
      onUnreachable(unreachable.peer(), nowMicros);
    }
    noteReachable(nowMicros);
    readDue(nowMicros);
  }

  /** Does what is due. */
  public void onTick(long nowMicros) {
    if (!isMemberWritten && !isPutting && nowMicros >= nextPutMicros) {
      isPutting = true;
      commands.accept(new RegistryCommand.PutMember(options.self()));
    }
    if (!isReachable && nowMicros >= nextAskMicros) {
      nextAskMicros = nowMicros + ASK_INTERVAL_MICROS;
      askPeers(nowMicros);
    }
    readDue(nowMicros);
  }

  /** Takes in where another process of the system listens. */
  public void onMember(Instance instance, long nowMicros) {
    if (instance.name().equals(options.self().name())) {
      return;
    }
    Peer peer = peers.computeIfAbsent(instance.name(), name -> new Peer());
    if (peer.instance.filter(instance::equals).isEmpty()) {
      peer.instance = Optional.of(instance);
      peer.role = instance.role();
      peer.pausedUntilMicros = nowMicros;
      peer.failuresInRow = 0;
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

  private void onPage(RegistryEvent.PageRead read, long nowMicros) {
    KeyedFollower follower = followers.get(read.stream());
    boolean wasWhole = follower.isWhole();
    List<KeyedRecord> changes = follower.onPage(read.answer(), nowMicros);
    tell(read.stream(), changes, !wasWhole && follower.isWhole(), nowMicros);
  }

  private void tell(
      RegistryStream stream, List<KeyedRecord> changes, boolean isFirstWhole, long nowMicros) {
    if (changes.isEmpty() && !isFirstWhole) {
      return;
    }
    listener.changed(stream, changes, isFirstWhole, nowMicros);
    if (stream == RegistryStream.OPERATOR && !isFirstWhole) {
      PeerMessage message = recordsOf(changes);
      somePeers(nowMicros).forEach(name -> send(name, message));
    }
    if (stream == RegistryStream.MEMBERS && isFirstWhole) {
      greet(nowMicros);
    }
  }

  /** Makes this process known to the others, which cannot have read its place yet. */
  private void greet(long nowMicros) {
    PeerMessage question = new PeerMessage.ConfigurationRequest(configurationOffset());
    reachablePeers(nowMicros).forEach(name -> send(name, question));
  }

  private void onEnvelope(Envelope envelope, long nowMicros) {
    Peer sender = peers.computeIfAbsent(envelope.sender(), name -> new Peer());
    sender.failuresInRow = 0;
    sender.pausedUntilMicros = nowMicros;
    PeerMessage message = envelope.message();
    if (message instanceof PeerMessage.Hello hello) {
      sender.role = hello.role();
    } else if (message instanceof PeerMessage.ConfigurationRequest request) {
      List<KeyedRecord> newer = operator().state().since(request.fromOffset());
      if (!newer.isEmpty()) {
        send(envelope.sender(), recordsOf(newer));
      }
    } else if (message instanceof PeerMessage.ConfigurationRecords records) {
      onRecords(records, nowMicros);
    } else {
      listener.received(envelope, nowMicros);
    }
  }

  private void onRecords(PeerMessage.ConfigurationRecords message, long nowMicros) {
    List<KeyedRecord> told = new ArrayList<>();
    for (LogRecord record : message.records()) {
      int end = record.payload().indexOf(SEPARATOR);
      if (end > 0) {
        String key = record.payload().substring(0, end);
        String value = record.payload().substring(end + 1);
        told.add(
            new KeyedRecord(
                record.offset(), key, value.isEmpty() ? Optional.empty() : Optional.of(value)));
      }
    }
    List<KeyedRecord> changes = operator().state().apply(told);
    if (!changes.isEmpty()) {
      listener.changed(RegistryStream.OPERATOR, changes, false, nowMicros);
    }
  }

  private static PeerMessage recordsOf(List<KeyedRecord> records) {
    return new PeerMessage.ConfigurationRecords(
        records.stream()
            .map(
                record ->
                    new LogRecord(
                        record.offset(), 0, record.key() + SEPARATOR + record.value().orElse("")))
            .toList());
  }

  private void askPeers(long nowMicros) {
    PeerMessage question = new PeerMessage.ConfigurationRequest(configurationOffset());
    somePeers(nowMicros).forEach(name -> send(name, question));
  }

  private List<String> somePeers(long nowMicros) {
    List<String> names = new ArrayList<>(reachablePeers(nowMicros));
    List<String> some = new ArrayList<>();
    while (some.size() < FAN_OUT && !names.isEmpty()) {
      some.add(names.remove(random.nextInt(names.size())));
    }
    return some;
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
      int doublings = Math.min(MOST_DOUBLINGS, peer.failuresInRow);
      peer.failuresInRow++;
      peer.pausedUntilMicros = nowMicros + (PEER_PAUSE_MICROS << doublings);
    }
  }

  private void noteReachable(long nowMicros) {
    KeyedFollower follower = operator();
    boolean isReadable = follower.isWhole() && !follower.isFailing();
    if (isReadable != isReachable) {
      isReachable = isReadable;
      listener.reachable(isReadable, nowMicros);
    }
  }

  private void readDue(long nowMicros) {
    followers.values().forEach(follower -> follower.next(nowMicros).ifPresent(commands));
  }

  private void send(String peer, PeerMessage message) {
    commands.accept(new RegistryCommand.SendToPeer(peer, message, configurationOffset()));
  }

  private KeyedFollower operator() {
    return followers.get(RegistryStream.OPERATOR);
  }
}

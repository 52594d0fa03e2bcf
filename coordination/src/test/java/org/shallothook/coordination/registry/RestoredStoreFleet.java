package org.shallothook.coordination.registry;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.log.RecordVersion;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;

/**
 * Several processes that follow a store which may be restored from an older copy, on a virtual
 * clock.
 *
 * <p>A read from an offset that the store does not have fails as expired, as on the platform. Reads
 * at the end of a stream wait up to their maximum time, also across a restore.
 *
 * <p>Not thread-safe.
 */
final class RestoredStoreFleet {
  static final long SECOND = 1_000_000;
  static final String CONFIGURATION = "config";

  private static final long STEP_MICROS = 20_000;
  private static final int PAGE_SIZE = 3;

  final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Map<RegistryStream, List<KeyedRecord>> logs = new EnumMap<>(RegistryStream.class);
  private final Set<String> cutOff = new HashSet<>();
  private final Set<String> rejected = new HashSet<>();
  private final Deque<Runnable> messages = new ArrayDeque<>();
  private boolean isDown;
  private long era = 1;
  private long nowMicros = SECOND;

  /** One process with what it has learned from the store and from others. */
  final class Node implements QuietRegistryListener {
    /** Latest value of each key of each stream; empty if it was removed. */
    final Map<RegistryStream, Map<String, Optional<String>>> values =
        new EnumMap<>(RegistryStream.class);

    private final String name;
    private final RegistryCore core;
    private final Map<RegistryCommand, Long> reads = new LinkedHashMap<>();
    private long version;

    Node(String name) {
      this.name = name;
      core =
          new RegistryCore(
              new RegistryOptions(
                  router(name),
                  Map.of(
                      RegistryStream.OPERATOR, new PollingPolicy(SECOND, 0),
                      RegistryStream.SERVERS, new PollingPolicy(SECOND / 2, SECOND / 4),
                      RegistryStream.QUARANTINES, new PollingPolicy(0, 2 * SECOND),
                      RegistryStream.MEMBERS, new PollingPolicy(0, 20 * SECOND)),
                  Map.of(
                      RegistryStream.OPERATOR, RestoredStoreFleet::versionOf,
                      RegistryStream.SERVERS, RestoredStoreFleet::versionOf,
                      RegistryStream.QUARANTINES, RestoredStoreFleet::versionOf),
                  name.hashCode()),
              this::execute,
              this);
    }

    RegistryCore core() {
      return core;
    }

    /** Returns the version of the configuration that is in force; it never goes back. */
    long version() {
      return version;
    }

    private void execute(RegistryCommand command) {
      if (command instanceof RegistryCommand.SendToPeer send) {
        messages.add(() -> deliver(send));
      } else if (command instanceof RegistryCommand.PutMember put) {
        boolean isDone = isStoreReachable();
        if (isDone) {
          write(RegistryStream.MEMBERS, put.self().name(), Optional.of(put.self().name()));
        }
        messages.add(
            () -> core.handle(new RegistryEvent.MemberPut(isDone, eraOf(isDone)), nowMicros));
      } else if (command instanceof RegistryCommand.Put put) {
        boolean isDone = isStoreReachable();
        if (isDone) {
          write(put.stream(), put.key(), put.value());
        }
        messages.add(
            () ->
                core.handle(
                    new RegistryEvent.PutEnded(put.stream(), put.key(), isDone, eraOf(isDone)),
                    nowMicros));
      } else if (!(command instanceof RegistryCommand.PeersChanged)) {
        reads.put(command, nowMicros);
      }
    }

    private boolean isStoreReachable() {
      return !isDown && !cutOff.contains(name) && !rejected.contains(name);
    }

    private void deliver(RegistryCommand.SendToPeer send) {
      Node peer = nodes.get(send.peer());
      if (peer != null && !cutOff.contains(name) && !cutOff.contains(send.peer())) {
        peer.core.handle(
            new RegistryEvent.PeerMessageReceived(
                new Envelope(name, 1, send.configurationOffset(), send.message())),
            nowMicros);
      }
    }

    private void completeReads() {
      Map<RegistryCommand, Long> outstanding = new LinkedHashMap<>(reads);
      outstanding.forEach(
          (command, sentMicros) ->
              resultOf(command, sentMicros)
                  .ifPresent(
                      result -> {
                        reads.remove(command);
                        core.handle(result, nowMicros);
                      }));
    }

    private Optional<RegistryEvent> resultOf(RegistryCommand command, long sentMicros) {
      if (command instanceof RegistryCommand.ReadNewest newest) {
        return Optional.of(
            new RegistryEvent.PageRead(
                newest.stream(),
                newest.afterKey(),
                isStoreReachable()
                    ? Either.right(page(newest.stream(), newest.afterKey()))
                    : Either.left(ReadFailure.of("the store is away")),
                eraOf(isStoreReachable())));
      }
      return resultOf((RegistryCommand.Read) command, sentMicros)
          .map(
              result ->
                  new RegistryEvent.StreamRead(
                      ((RegistryCommand.Read) command).stream(),
                      ((RegistryCommand.Read) command).fromOffset(),
                      result,
                      eraOf(isStoreReachable())));
    }

    private Optional<Either<ReadFailure, RecordsRead>> resultOf(
        RegistryCommand.Read read, long sentMicros) {
      List<KeyedRecord> log = log(read.stream());
      if (!isStoreReachable()) {
        return Optional.of(Either.left(ReadFailure.of("the store is away")));
      }
      if (read.fromOffset() > log.size()) {
        return Optional.of(Either.left(ReadFailure.ofExpiredRecords()));
      }
      boolean mayWait = nowMicros - sentMicros < read.maximumWaitMicros();
      if (read.fromOffset() == log.size() && mayWait) {
        return Optional.empty();
      }
      List<KeyedRecord> records = log.subList((int) read.fromOffset(), log.size());
      return Optional.of(Either.right(new RecordsRead(records, log.size(), log.size())));
    }

    private Optional<Long> eraOf(boolean isAnswered) {
      return isAnswered ? Optional.of(era) : Optional.empty();
    }

    private void tick() {
      core.onTick(nowMicros);
      completeReads();
    }

    @Override
    public void onChanges(RegistryChanges changes, long now) {
      for (KeyedRecord change : changes.records()) {
        values
            .computeIfAbsent(changes.stream(), added -> new LinkedHashMap<>())
            .put(change.key(), change.value());
        if (changes.stream() == RegistryStream.MEMBERS && change.value().isPresent()) {
          core.onMember(router(change.key()), now);
        }
        if (change.key().equals(CONFIGURATION)) {
          version = Math.max(version, change.value().map(Long::parseLong).orElse(0L));
        }
      }
    }
  }

  private static Instance router(String name) {
    return new Instance(name, InstanceRole.ROUTER, "10.0.0.1:1", "domain", "region", "", false);
  }

  private static Optional<RecordVersion> versionOf(String key, String value) {
    return Optional.of(new RecordVersion(0, Long.parseLong(value)));
  }

  /** Starts a process that knows nothing. */
  Node start(String name) {
    Node node = new Node(name);
    nodes.put(name, node);
    return node;
  }

  void startAll(int count) {
    for (int index = 0; index < count; index++) {
      start("router-" + index);
    }
  }

  long now() {
    return nowMicros;
  }

  /** Lets a process reach neither the store nor other processes, or reach them again. */
  void setCutOff(String name, boolean isCutOff) {
    if (isCutOff) {
      cutOff.add(name);
    } else {
      cutOff.remove(name);
    }
  }

  /** Lets the store reject a process, which still reaches the others, or serve it again. */
  void setRejected(String name, boolean isRejected) {
    if (isRejected) {
      rejected.add(name);
    } else {
      rejected.remove(name);
    }
  }

  /** Publishes a version of the configuration. */
  void publish(long version) {
    write(RegistryStream.OPERATOR, CONFIGURATION, Optional.of(Long.toString(version)));
  }

  void write(RegistryStream stream, String key, Optional<String> value) {
    List<KeyedRecord> log = log(stream);
    log.add(new KeyedRecord(log.size(), key, value));
  }

  /** Takes the store away for a time; reads that wait there fail. */
  void setDown(boolean isNowDown) {
    isDown = isNowDown;
  }

  /** Drops the newest records of each stream and begins the next era. */
  void restoreWithout(int records) {
    logs.values()
        .forEach(log -> log.subList(Math.max(0, log.size() - records), log.size()).clear());
    era++;
  }

  /** Drops the newest records of one stream only and begins the next era. */
  void restoreWithout(RegistryStream stream, int records) {
    List<KeyedRecord> log = log(stream);
    log.subList(log.size() - records, log.size()).clear();
    era++;
  }

  List<KeyedRecord> log(RegistryStream stream) {
    return logs.computeIfAbsent(stream, added -> new ArrayList<>());
  }

  void advance(long micros) {
    long end = nowMicros + micros;
    while (nowMicros < end) {
      nowMicros += STEP_MICROS;
      List.copyOf(nodes.values()).forEach(Node::tick);
      for (Runnable message = messages.poll(); message != null; message = messages.poll()) {
        message.run();
      }
    }
  }

  private NewestPage page(RegistryStream stream, String afterKey) {
    Map<String, KeyedRecord> newest = new TreeMap<>();
    for (KeyedRecord record : log(stream)) {
      if (record.value().isPresent()) {
        newest.put(record.key(), record);
      } else {
        newest.remove(record.key());
      }
    }
    List<KeyedRecord> following =
        newest.values().stream().filter(record -> record.key().compareTo(afterKey) > 0).toList();
    boolean hasMore = following.size() > PAGE_SIZE;
    return new NewestPage(
        following.subList(0, Math.min(PAGE_SIZE, following.size())), hasMore, log(stream).size());
  }
}

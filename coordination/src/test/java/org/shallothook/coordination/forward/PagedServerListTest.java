package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.registry.NewestPage;
import org.shallothook.coordination.registry.PollingPolicy;
import org.shallothook.coordination.registry.ReadFailure;
import org.shallothook.coordination.registry.RecordsRead;
import org.shallothook.coordination.registry.RegistryChanges;
import org.shallothook.coordination.registry.RegistryCommand;
import org.shallothook.coordination.registry.RegistryCore;
import org.shallothook.coordination.registry.RegistryEvent;
import org.shallothook.coordination.registry.RegistryListener;
import org.shallothook.coordination.registry.RegistryOptions;
import org.shallothook.coordination.registry.RegistryStream;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.route.ServerEntry;

/** A router reads a list of servers that takes several pages of the store. */
final class PagedServerListTest implements RegistryListener {
  private static final long SECOND = ForwardHarness.SECOND;

  private final ForwardHarness harness = new ForwardHarness();
  private final Deque<RegistryCommand> reads = new ArrayDeque<>();
  private final Map<String, KeyedRecord> newest = new TreeMap<>();
  private final List<KeyedRecord> log = new ArrayList<>();
  private final Map<String, ServerEntry> entries = new HashMap<>();
  private final RegistryCore registry =
      new RegistryCore(
          new RegistryOptions(
              new Instance(
                  "router-1", InstanceRole.ROUTER, "10.0.0.1:1", "domain", "region", "", false),
              Map.of(
                  RegistryStream.OPERATOR, new PollingPolicy(0, SECOND),
                  RegistryStream.SERVERS, new PollingPolicy(0, 200 * ForwardHarness.MILLI)),
              Map.of(),
              1),
          this::record,
          this);
  private int pageSize = 500;
  private int readPages;
  private Optional<Long> era = Optional.empty();
  private boolean isHistoryGone;

  /** What happens between the first page of a scan and the second. */
  private enum Between {
    NOTHING {
      @Override
      void happen(PagedServerListTest test) {}
    },
    REMOVED_FROM_FIRST_PAGE {
      @Override
      void happen(PagedServerListTest test) {
        test.remove(0);
      }
    },
    REMOVED_FROM_LAST_PAGE {
      @Override
      void happen(PagedServerListTest test) {
        test.remove(519);
      }
    },
    CHANGED_ON_BOTH_PAGES {
      @Override
      void happen(PagedServerListTest test) {
        test.list(0);
        test.list(519);
      }
    },
    ADDED_TO_FIRST_PAGE {
      @Override
      void happen(PagedServerListTest test) {
        test.append("000", Optional.of(ForwardHarness.service("000", 600)));
      }
    },
    FAILED {
      @Override
      void happen(PagedServerListTest test) {
        RegistryCommand.ReadNewest next = (RegistryCommand.ReadNewest) test.reads.remove();
        test.handlePage(next, Either.left(ReadFailure.of("timeout")));
      }
    },
    REPEATED {
      @Override
      void happen(PagedServerListTest test) {
        test.handlePage(
            new RegistryCommand.ReadNewest(RegistryStream.SERVERS, ""),
            Either.right(test.page("")));
      }
    },
    RESTORED {
      @Override
      void happen(PagedServerListTest test) {
        test.era = Optional.of(test.era.orElse(0L) + 1);
      }
    };

    abstract void happen(PagedServerListTest test);
  }

  private void record(RegistryCommand command) {
    boolean isOfServers =
        (command instanceof RegistryCommand.ReadNewest scan
                && scan.stream() == RegistryStream.SERVERS)
            || (command instanceof RegistryCommand.Read read
                && read.stream() == RegistryStream.SERVERS);
    if (isOfServers) {
      reads.add(command);
    }
  }

  @Override
  public void onChanges(RegistryChanges changes, long nowMicros) {
    List<ServerEntry> listed = new ArrayList<>();
    for (KeyedRecord record : changes.records()) {
      if (record.value().isPresent()) {
        listed.add(entries.get(record.key()));
      } else {
        harness.handle(new ForwardEvent.ServerRemoved(record.key()));
      }
    }
    harness.handle(new ForwardEvent.ServersRead(listed, changes.completesFirstScan()));
  }

  @Override
  public void onReachabilityChanged(boolean isReachable, long nowMicros) {}

  @Override
  public void onStoreRestored(long newEra, String offsets, long nowMicros) {}

  @Override
  public void onInterrupted(long pauseMicros, long nowMicros) {}

  @Override
  public void onMessage(Envelope envelope, long nowMicros) {}

  private static String name(int index) {
    return String.format("service-%03d", index);
  }

  private void list(int index) {
    append(name(index), Optional.of(ForwardHarness.service(name(index), index)));
  }

  private void remove(int index) {
    append(name(index), Optional.empty());
  }

  private void append(String id, Optional<ServerEntry> entry) {
    KeyedRecord record = new KeyedRecord(log.size(), id, entry.map(ServerEntry::address));
    log.add(record);
    if (entry.isPresent()) {
      entries.put(id, entry.get());
      newest.put(id, record);
    } else {
      newest.remove(id);
    }
  }

  private NewestPage page(String afterKey) {
    List<KeyedRecord> following =
        newest.values().stream().filter(item -> item.key().compareTo(afterKey) > 0).toList();
    int size = Math.min(pageSize, following.size());
    return new NewestPage(following.subList(0, size), size < following.size(), log.size());
  }

  private void handlePage(
      RegistryCommand.ReadNewest newestRead, Either<ReadFailure, NewestPage> result) {
    registry.handle(
        new RegistryEvent.PageRead(newestRead.stream(), newestRead.afterKey(), result, era),
        harness.now());
  }

  /** Completes the reads of some seconds; something happens after the first page. */
  private void run(Between between) {
    readPages = 0;
    long until = harness.now() + 4 * SECOND;
    while (harness.now() < until) {
      registry.onTick(harness.now());
      RegistryCommand next = reads.poll();
      if (next instanceof RegistryCommand.ReadNewest newestRead) {
        handlePage(newestRead, Either.right(page(newestRead.afterKey())));
        readPages++;
        if (readPages == 1) {
          between.happen(this);
        }
      } else if (next instanceof RegistryCommand.Read read) {
        registry.handle(
            new RegistryEvent.StreamRead(read.stream(), read.fromOffset(), answer(read), era),
            harness.now());
      }
      harness.advance(ForwardCore.TICK_INTERVAL_MICROS);
    }
  }

  private Either<ReadFailure, RecordsRead> answer(RegistryCommand.Read read) {
    if (isHistoryGone) {
      isHistoryGone = false;
      return Either.left(ReadFailure.ofExpiredRecords());
    }
    int from = (int) read.fromOffset();
    int next = Math.min(log.size(), from + pageSize);
    return Either.right(new RecordsRead(log.subList(from, next), next, log.size()));
  }

  /** Returns the servers that are sent a request if there are more requests than they have room. */
  private Set<String> usedServers() {
    Set<String> used = new HashSet<>();
    for (int request = 0; request < 5 * newest.size(); request++) {
      harness
          .sent(harness.submitCall("/book/1"))
          .ifPresent(sent -> used.add(sent.dispatch().server()));
    }
    return used;
  }

  private void start(int servers) {
    for (int index = 0; index < servers; index++) {
      list(index);
    }
    harness.publish(1);
    harness.handle(new ForwardEvent.RegistryReachable(true));
  }

  // Guards against a router that gives up all servers but those of the last page after its start.
  @ParameterizedTest
  @CsvSource({"520, 500", "680, 500", "680, 10", "3, 1", "500, 500"})
  void theServersOfAllPagesAreUsed(int servers, int size) {
    pageSize = size;
    start(servers);
    run(Between.NOTHING);
    assertThat(harness.isReady()).isTrue();
    assertThat(usedServers()).isEqualTo(newest.keySet());
  }

  // Guards against a list that depends on what happened while its pages were read.
  @ParameterizedTest
  @EnumSource(Between.class)
  void aListThatChangesBetweenTwoPagesIsKnownInFull(Between between) {
    start(520);
    run(between);
    assertThat(usedServers()).isEqualTo(newest.keySet());
  }

  // Guards against a later scan that gives up what its last page does not name.
  @ParameterizedTest
  @EnumSource(Between.class)
  void aScanAfterExpiredRecordsKeepsAllPages(Between between) {
    start(520);
    run(Between.NOTHING);
    isHistoryGone = true;
    remove(7);
    run(between);
    assertWithMessage("pages").that(readPages).isAtLeast(2);
    assertThat(usedServers()).isEqualTo(newest.keySet());
  }

  // Guards against appended records of which one read takes only a part.
  @ParameterizedTest
  @ValueSource(ints = {1, 30})
  void appendedRecordsThatTakeSeveralReadsAreAllKnown(int size) {
    start(3);
    run(Between.NOTHING);
    pageSize = size;
    for (int index = 3; index < 43; index++) {
      list(index);
    }
    remove(0);
    run(Between.NOTHING);
    assertThat(usedServers()).isEqualTo(newest.keySet());
  }
}

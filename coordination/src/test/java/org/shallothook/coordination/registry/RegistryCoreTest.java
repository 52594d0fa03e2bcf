package org.shallothook.coordination.registry;

import static com.google.common.truth.Truth.assertThat;

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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;

/** Several processes use a store that refuses some of them. */
final class RegistryCoreTest {
  private static final long SECOND = 1_000_000;
  private final Map<String, Node> nodes = new HashMap<>();
  private final List<KeyedRecord> log = new ArrayList<>();
  private final Map<String, Instance> members = new HashMap<>();
  private final Set<String> refused = new HashSet<>();
  private final Deque<Runnable> messages = new ArrayDeque<>();
  private long nowMicros;

  /** One process, with the values of the operator stream that it has applied. */
  private final class Node implements QuietRegistryListener {
    private final String name;
    private final List<String> appliedValues = new ArrayList<>();
    private final Deque<RegistryCommand> reads = new ArrayDeque<>();
    private final RegistryCore core;

    Node(String name) {
      this.name = name;
      Instance self =
          new Instance(name, InstanceRole.ROUTER, "10.0.0.1:1", "domain", "region", "", false);
      core =
          new RegistryCore(
              new RegistryOptions(
                  self,
                  Map.of(
                      RegistryStream.OPERATOR, new PollingPolicy(0, 200_000),
                      RegistryStream.MEMBERS, new PollingPolicy(0, 20 * SECOND)),
                  Map.of(),
                  name.hashCode()),
              this::execute,
              this);
    }

    private void execute(RegistryCommand command) {
      if (command instanceof RegistryCommand.SendToPeer send) {
        messages.add(
            () -> {
              Node peer = nodes.get(send.peer());
              peer.core.handle(
                  new RegistryEvent.PeerMessageReceived(
                      new Envelope(name, 1, send.configurationOffset(), send.message())),
                  nowMicros);
            });
      } else if (command instanceof RegistryCommand.PutMember put) {
        boolean isAccepted = !refused.contains(name);
        if (isAccepted) {
          members.put(name, put.self());
        }
        messages.add(
            () ->
                core.handle(new RegistryEvent.MemberPut(isAccepted, Optional.empty()), nowMicros));
      } else if (!(command instanceof RegistryCommand.PeersChanged)) {
        reads.add(command);
      }
    }

    private void completeReads() {
      for (RegistryCommand read = reads.poll(); read != null; read = reads.poll()) {
        core.handle(resultOf(read), nowMicros);
        if (reads.size() > 4) {
          return;
        }
      }
    }

    private RegistryEvent resultOf(RegistryCommand command) {
      boolean isRefused = refused.contains(name);
      if (command instanceof RegistryCommand.ReadNewest newest) {
        List<KeyedRecord> items =
            newest.stream() == RegistryStream.MEMBERS ? memberRecords() : List.copyOf(log);
        return new RegistryEvent.PageRead(
            newest.stream(),
            newest.afterKey(),
            isRefused
                ? Either.left(ReadFailure.of("refused by the store"))
                : Either.right(new NewestPage(items, false, items.size())),
            Optional.empty());
      }
      RegistryCommand.Read read = (RegistryCommand.Read) command;
      List<KeyedRecord> all =
          read.stream() == RegistryStream.MEMBERS ? memberRecords() : List.copyOf(log);
      int from = (int) Math.min(read.fromOffset(), all.size());
      return new RegistryEvent.StreamRead(
          read.stream(),
          read.fromOffset(),
          isRefused
              ? Either.left(ReadFailure.of("refused by the store"))
              : Either.right(
                  new RecordsRead(all.subList(from, all.size()), all.size(), all.size())),
          Optional.empty());
    }

    @Override
    public void onChanges(RegistryChanges changes, long now) {
      if (changes.stream() == RegistryStream.OPERATOR) {
        changes.records().forEach(change -> appliedValues.add(change.value().orElse("")));
      } else {
        changes.records().forEach(change -> core.onMember(members.get(change.key()), now));
      }
    }
  }

  private List<KeyedRecord> memberRecords() {
    List<KeyedRecord> records = new ArrayList<>();
    members
        .keySet()
        .forEach(name -> records.add(new KeyedRecord(records.size(), name, Optional.of(name))));
    return records;
  }

  private void publish(String value) {
    log.add(new KeyedRecord(log.size(), "config", Optional.of(value)));
  }

  private void start(int count) {
    for (int index = 0; index < count; index++) {
      nodes.put("router-" + index, new Node("router-" + index));
    }
  }

  private void run(long micros) {
    long until = nowMicros + micros;
    while (nowMicros < until) {
      nowMicros += 20_000;
      nodes.values().forEach(node -> node.core.onTick(nowMicros));
      nodes.values().forEach(Node::completeReads);
      for (Runnable message = messages.poll(); message != null; message = messages.poll()) {
        message.run();
      }
    }
  }

  @Test
  void everyProcessReadsWhatOperatorsPublish() {
    publish("1");
    start(3);
    run(SECOND);
    publish("2");
    run(SECOND);
    nodes
        .values()
        .forEach(node -> assertThat(node.appliedValues).containsExactly("1", "2").inOrder());
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 8, 28})
  void aProcessRefusedByTheStoreLearnsChangesFromPeers(int count) {
    publish("1");
    start(count);
    run(3 * SECOND);
    for (int index = 0; index < count / 3; index++) {
      refused.add("router-" + index);
    }
    run(SECOND);
    publish("2");
    run(2 * SECOND);
    nodes.values().forEach(node -> assertThat(node.appliedValues).contains("2"));
  }

  // Guards against shares of limits and allowances as in a fleet of the routers on the first page.
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 28})
  void theFleetIsUnknownUntilTheLastPageOfMembersIsRead(int count) {
    start(count);
    run(3 * SECOND);
    Node restarted = new Node("router-0");
    List<KeyedRecord> records = memberRecords();
    restarted.core.onTick(nowMicros);
    for (int index = 0; index < count; index++) {
      assertThat(restarted.core.routers().isPresent()).isFalse();
      String afterKey = index == 0 ? "" : records.get(index - 1).key();
      NewestPage page =
          new NewestPage(List.of(records.get(index)), index < count - 1, records.size());
      restarted.core.handle(
          new RegistryEvent.PageRead(
              RegistryStream.MEMBERS, afterKey, Either.right(page), Optional.empty()),
          nowMicros);
    }
    assertThat(restarted.core.routers().orElseThrow()).hasSize(count);
  }

  @Test
  void aValueIsNeverReplacedByAnOlderOne() {
    publish("1");
    start(4);
    run(3 * SECOND);
    refused.add("router-0");
    publish("2");
    publish("3");
    run(2 * SECOND);
    refused.clear();
    run(2 * SECOND);
    nodes.values().forEach(node -> assertThat(node.appliedValues).isInOrder());
    nodes.values().forEach(node -> assertThat(node.appliedValues).contains("3"));
  }
}

package org.shallothook.coordination.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.shallothook.coordination.fake.FakeLog;
import org.shallothook.coordination.fake.VirtualTime;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.configuration.ConfigurationLog;
import org.shallothook.state.configuration.ConfigurationRecord;
import org.shallothook.state.configuration.ConfigurationRecordText;
import org.shallothook.state.configuration.ConfigurationState;

/**
 * Runs random histories from seeds, with concurrent publishers, lost responses, restarts, outages
 * of the log and expiring records. No replica may return to an earlier offset. Some time after the
 * last fault, every replica must have all records of the log and equal their fold, and every change
 * reported as accepted must be in the log. The system property {@code configuration.histories} sets
 * the number of histories.
 */
final class ConfigurationHistoriesTest {
  private static final int HISTORIES = Integer.getInteger("configuration.histories", 1_000);
  private static final long START_MICROS = 1_000_000_000L;
  private static final long RETENTION_MICROS = 40_000_000;
  private static final long BUSY_MICROS = 60_000_000;
  private static final long SETTLE_MICROS = 30_000_000;
  private static final long PROPAGATION_BOUND_MICROS = 2_000_000;
  private static final int NODES = 4;

  private static final class History {
    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime(START_MICROS);
    private final FakeLog log;
    private final Map<String, ReplicaNode> nodes = ReplicaNode.newNodes();
    private int changes;
    private long settledOffset;

    History(long seed) {
      random = new SplittableRandom(seed);
      log = new FakeLog(time, random.split());
      log.retentionMicros = RETENTION_MICROS;
      log.lostAnswers = 0.2;
      log.lateAppends = 0.05;
      for (int i = 0; i < NODES; i++) {
        new ReplicaNode(
            new ConfigurationOptions("node-" + i, 1_000_000, RETENTION_MICROS, i < 2),
            time,
            log,
            nodes);
      }
    }

    void run() {
      for (int step = 0; step < 25; step++) {
        time.schedule(random.nextLong(BUSY_MICROS), this::performRandomAction);
      }
      SplittableRandom rollouts = random.split();
      for (int rollout = 0; rollout < 5; rollout++) {
        time.schedule(rollouts.nextLong(BUSY_MICROS), () -> rollOut(rollouts));
      }
      time.schedule(0, this::gossip);
      time.runUntil(START_MICROS + BUSY_MICROS);
      log.downUntilMicros = 0;
      time.runUntil(START_MICROS + BUSY_MICROS + SETTLE_MICROS);
      settledOffset = log.records("configuration").size();
      time.runUntil(time.now() + PROPAGATION_BOUND_MICROS);
    }

    private void performRandomAction() {
      int kind = random.nextInt(10);
      if (kind < 7) {
        publish();
      } else if (kind == 7) {
        node().restart();
      } else if (kind == 8) {
        log.downUntilMicros = time.now() + random.nextLong(8_000_000);
      } else {
        log.append("configuration", "garbage " + changes++, offset -> {}, may -> {});
      }
    }

    private void publish() {
      String team = "team-" + random.nextInt(3);
      int number = changes++;
      boolean isRemoval = random.nextInt(6) == 0;
      String source =
          "[team]\nname = %s\nkey-sha256 = %s\nmodel = m\nversion = %d"
              .formatted(team, digest(team), number);
      ChangeRequest request =
          new ChangeRequest(
              "change-" + number,
              team,
              isRemoval ? Optional.empty() : Optional.of(source),
              Optional.empty());
      node().publish(request, 6_000_000);
      if (random.nextInt(3) == 0) {
        node().publish(request, 6_000_000);
      }
    }

    /**
     * Appends the record with which a router declares the model version of a team rolled out, seen
     * from the possibly outdated state of a random node.
     */
    private void rollOut(SplittableRandom rollouts) {
      ConfigurationState state = node().replica().state();
      state.allTeams().values().stream()
          .skip(rollouts.nextInt(3))
          .findFirst()
          .map(team -> new ConfigurationRecord.RolledOut(state.offset(), team.modelVersion()))
          .map(ConfigurationRecordText::write)
          .ifPresent(text -> log.append("configuration", text, offset -> {}, may -> {}));
    }

    private static String digest(String team) {
      return team.substring(5).repeat(64);
    }

    private void gossip() {
      String from = "node-" + random.nextInt(NODES);
      String to = "node-" + random.nextInt(NODES);
      if (!from.equals(to)) {
        nodes.get(from).sendTo(to, new PeerMessage.ConfigurationRecords(List.of()));
      }
      time.schedule(20_000 + random.nextLong(200_000), this::gossip);
    }

    private ReplicaNode node() {
      return nodes.get("node-" + random.nextInt(NODES));
    }

    ConfigurationState foldOfLog(long offset) {
      ConfigurationLog fullLog = new ConfigurationLog();
      fullLog.apply(0, log.records("configuration").subList(0, (int) offset));
      return fullLog.state();
    }
  }

  @Test
  void everyNodeEndsAtTheFoldOfTheWholeLogWithoutReversion() {
    Map<String, Integer> results = new HashMap<>();
    for (long seed = 0; seed < HISTORIES; seed++) {
      History history = new History(seed);
      history.run();
      for (ReplicaNode node : history.nodes.values()) {
        assertThat(node.reversions).isEqualTo(0);
        ConfigurationState state = node.replica().state();
        assertThat(state.offset()).isAtLeast(history.settledOffset);
        assertThat(Map.of(seed, state)).isEqualTo(Map.of(seed, history.foldOfLog(state.offset())));
        assertWithMessage("seed %s", seed).that(node.replica().isBehind()).isFalse();
        count(results, node.results);
      }
      checkAccepted(history);
    }
    System.out.println("configuration histories " + HISTORIES + ": " + results);
  }

  /** Every change reported as accepted is in the log at that offset, and accepted by the fold. */
  private static void checkAccepted(History history) {
    ConfigurationLog fullLog = new ConfigurationLog();
    fullLog.apply(0, history.log.records("configuration"));
    List<Long> accepted = new ArrayList<>();
    fullLog.history().stream()
        .filter(entry -> entry.verdict().name().equals("ACCEPTED"))
        .forEach(entry -> accepted.add(entry.offset()));
    for (ReplicaNode node : history.nodes.values()) {
      for (PublicationResult result : node.results) {
        if (result instanceof PublicationResult.Accepted reported) {
          assertThat(accepted).contains(reported.offset());
        }
      }
    }
  }

  private static void count(Map<String, Integer> results, List<PublicationResult> of) {
    of.forEach(result -> results.merge(result.getClass().getSimpleName(), 1, Integer::sum));
  }
}

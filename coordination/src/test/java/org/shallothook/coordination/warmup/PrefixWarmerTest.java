package org.shallothook.coordination.warmup;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothook.coordination.configuration.ConfigurationReplica;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarCore;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarHarness;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationRecord;
import org.shallothook.state.configuration.ConfigurationRecordText;
import org.shallothook.state.configuration.TemplateParser;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/** Tests that a loaded version is withheld until its prefixes in use are computed and stored. */
final class PrefixWarmerTest {
  private static final int BLOCK_BYTES = 100;
  private static final long SECOND_MICROS = 1_000_000;
  private static final ModelVersion NEWER = ModelVersion.of("linen", "v2");
  private static final List<ModelVersion> BOTH = List.of(SidecarHarness.VERSION, NEWER);

  private final List<LogRecord> configuration = new ArrayList<>();
  private SidecarHarness harness;
  private TenantPrefix prefix;
  private int processedCommands;

  /** Reasons for which a prefix is not stored. */
  private enum Obstacle {
    STORE_DOWN {
      @Override
      void execute(PrefixWarmerTest test, SidecarCommand command) {
        if (command instanceof SidecarCommand.TransferBlocks transfer) {
          test.harness.handle(new SidecarEvent.TransferEnded(transfer.token(), List.of()));
        } else {
          test.execute(command);
        }
      }
    },
    STEPS_UNANSWERED {
      @Override
      void execute(PrefixWarmerTest test, SidecarCommand command) {
        if (!(command instanceof SidecarCommand.StartAnswer)) {
          test.execute(command);
        }
      }
    },
    STEPS_REFUSED {
      @Override
      void execute(PrefixWarmerTest test, SidecarCommand command) {
        if (command instanceof SidecarCommand.StartAnswer start) {
          test.harness.fail(start.attempt(), false);
        } else {
          test.execute(command);
        }
      }
    },
    ENGINE_BUSY {
      @Override
      void prepare(SidecarHarness harness) {
        harness.send(SidecarHarness.offer("long prompt"));
      }

      @Override
      void execute(PrefixWarmerTest test, SidecarCommand command) {
        if (!(command instanceof SidecarCommand.StartAnswer)) {
          test.execute(command);
        }
      }
    };

    void prepare(SidecarHarness harness) {}

    abstract void execute(PrefixWarmerTest test, SidecarCommand command);
  }

  @BeforeEach
  void publishVersionChange() {
    harness = SidecarHarness.ready(8, SidecarHarness.options().blockBytes(BLOCK_BYTES).region("r"));
    harness.instances(1, false, true);
    String text = template("v2");
    prefix =
        new TenantPrefix(
            new CacheIdentity("guild", NEWER),
            new CacheIdentity("guild", SidecarHarness.VERSION),
            TenantPrefixText.of(TemplateParser.parse(text).get(), ""),
            BLOCK_BYTES,
            false);
    publish(0, template("v1"));
    publish(1, text);
  }

  private static String template(String version) {
    return "[team]\nname = guild\nkey-sha256 = "
        + "0".repeat(64)
        + "\nmodel = linen\nversion = "
        + version
        + "\n\n[rulebook]\ntext = "
        + "cloth ".repeat(400)
        + "\n";
  }

  private void publish(long base, String template) {
    String payload =
        ConfigurationRecordText.write(
            new ConfigurationRecord.Change("c" + base, base, "guild", Optional.of(template)));
    configuration.add(new LogRecord(configuration.size(), harness.nowMicros, payload));
  }

  /** Reports the blocks as cached by the engine. */
  private void reportCached(List<BlockKey> keys) {
    harness.handle(new SidecarEvent.CacheListed("e-1", 0, keys));
  }

  private void run(long micros) {
    run(micros, this::execute);
  }

  private void run(long micros, Consumer<SidecarCommand> platform) {
    long end = harness.nowMicros + micros;
    while (harness.nowMicros < end) {
      harness.pass(SidecarCore.TICK_INTERVAL_MICROS);
      while (processedCommands < harness.commands.size()) {
        platform.accept(harness.commands.get(processedCommands++));
      }
    }
  }

  private void execute(SidecarCommand command) {
    if (command instanceof SidecarCommand.ReadLog read) {
      boolean isConfiguration = read.stream().equals(ConfigurationReplica.STREAM);
      List<LogRecord> records = isConfiguration ? configuration : List.of();
      int start = (int) Math.min(records.size(), read.fromOffset());
      harness.handle(
          new SidecarEvent.LogRead(
              new LogPage(
                  read.stream(), 0, records.size(), records.subList(start, records.size()))));
    } else if (command instanceof SidecarCommand.StartAnswer start) {
      harness.tokens(start.attempt(), 0, 1);
      harness.end(start.attempt(), 1);
    } else if (command instanceof SidecarCommand.TransferBlocks transfer) {
      harness.handle(new SidecarEvent.TransferEnded(transfer.token(), transfer.keys()));
    }
  }

  private void load(List<ModelVersion> ready) {
    harness.status("e-1", ready, false);
  }

  private List<ModelVersion> readyForCallers() {
    List<PeerMessage.SidecarStatus> statuses = harness.sent(PeerMessage.SidecarStatus.class);
    return statuses.get(statuses.size() - 1).ready();
  }

  private List<SidecarCommand.StartAnswer> steps() {
    return harness.commands(SidecarCommand.StartAnswer.class).stream()
        .filter(start -> start.identity().modelVersion().equals(NEWER))
        .toList();
  }

  @Test
  void versionIsWithheldUntilItsPrefixesAreComputedAndStored() {
    reportCached(prefix.earlierKeys());
    run(2 * SECOND_MICROS);
    load(BOTH);
    assertThat(readyForCallers()).containsExactly(SidecarHarness.VERSION);
    assertThat(harness.core.status().ready()).containsExactly(SidecarHarness.VERSION);

    run(5 * SECOND_MICROS);
    assertThat(steps().size()).isAtLeast(2);
    assertThat(steps().get(0).keys().size()).isLessThan(prefix.keys().size());
    assertThat(steps().get(steps().size() - 1).keys()).isEqualTo(prefix.keys());
    assertThat(steps().stream().allMatch(step -> step.maximumOutputTokens() == 1)).isTrue();
    List<SidecarCommand.TransferBlocks> transfers =
        harness.commands(SidecarCommand.TransferBlocks.class);
    assertThat(transfers).hasSize(1);
    assertThat(transfers.get(0).identity()).isEqualTo(prefix.identity());
    assertThat(transfers.get(0).keys()).isEqualTo(prefix.keys());
    assertThat(readyForCallers()).containsExactlyElementsIn(BOTH);
    assertThat(harness.counters.get("openings.stored")).isEqualTo(1);
  }

  @ParameterizedTest
  @EnumSource(Obstacle.class)
  void versionIsWithheldNoLongerThanItsDeadline(Obstacle obstacle) {
    reportCached(prefix.earlierKeys());
    run(2 * SECOND_MICROS);
    obstacle.prepare(harness);
    load(BOTH);
    run(14 * SECOND_MICROS, command -> obstacle.execute(this, command));
    assertThat(readyForCallers()).containsExactly(SidecarHarness.VERSION);

    run(2 * SECOND_MICROS, command -> obstacle.execute(this, command));
    assertThat(readyForCallers()).containsExactlyElementsIn(BOTH);
  }

  @Test
  void versionWithUnusedPrefixesIsNotWithheld() {
    run(2 * SECOND_MICROS);
    load(BOTH);
    assertThat(readyForCallers()).containsExactlyElementsIn(BOTH);
    run(2 * SECOND_MICROS);
    assertThat(steps()).isEmpty();
  }

  @Test
  void versionIsNotWithheldAfterEarlierOneIsUnloaded() {
    reportCached(prefix.earlierKeys());
    run(2 * SECOND_MICROS);
    load(BOTH);
    load(List.of(NEWER));
    run(SidecarCore.TICK_INTERVAL_MICROS);
    assertThat(readyForCallers()).containsExactly(NEWER);
  }

  @Test
  void stepsAreNotRepeatedAfterEngineRestart() {
    reportCached(prefix.earlierKeys());
    run(2 * SECOND_MICROS);
    load(BOTH);
    run(SECOND_MICROS, command -> {});
    assertThat(steps()).hasSize(1);
    harness.status("e-2", BOTH, false);
    harness.handle(new SidecarEvent.CacheListed("e-2", 0, prefix.earlierKeys()));
    harness.end(steps().get(0).attempt(), 1);
    run(2 * SECOND_MICROS);
    assertThat(readyForCallers()).containsExactlyElementsIn(BOTH);
    assertThat(steps()).hasSize(1);
    assertThat(harness.commands(SidecarCommand.TransferBlocks.class)).isEmpty();
  }

  @Test
  void stepIsCancelledForPriorityWork() {
    reportCached(prefix.earlierKeys());
    run(2 * SECOND_MICROS);
    load(BOTH);
    run(SidecarCore.TICK_INTERVAL_MICROS, command -> {});
    SidecarCommand.StartAnswer step = steps().get(0);
    harness.send(SidecarHarness.offer("rare").team("sidings").priority());
    int cancelled = harness.commands.indexOf(new SidecarCommand.CancelAnswer(step.attempt()));
    assertThat(cancelled).isAtLeast(0);
    List<SidecarCommand> later = harness.commands.subList(cancelled, harness.commands.size());
    assertThat(later.stream().anyMatch(SidecarCommand.StartAnswer.class::isInstance)).isTrue();
    assertThat(harness.started()).contains(SidecarHarness.attempt("rare"));
    assertThat(steps()).hasSize(1);
  }
}

package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shallothook.coordination.port.Decision;

/** Checks that each decision of a router writes a journal line with its subject and its inputs. */
final class DecisionCoverageTest {
  /**
   * Decisions written by sidecars, processes and the transport, and crashes, which {@link
   * #aCrashWritesALine} covers, and refusals beyond an allowance, which {@link TeamAdmissionTest}
   * covers.
   */
  private static final Set<Decision> NOT_HERE =
      EnumSet.of(
          Decision.ORDER,
          Decision.DEPENDENCY,
          Decision.PROCESS,
          Decision.UNEXPECTED_RESPONSE,
          Decision.CONNECTION_CLOSED,
          Decision.LONG_TURN,
          Decision.STALL,
          Decision.ALLOWANCE,
          Decision.CRASH,
          Decision.QUARANTINE);

  private final Map<Decision, Integer> fieldCounts = new HashMap<>();

  private final Map<String, Object> callerGoneFields = new HashMap<>();

  private void write(Decision decision, String subject, Object... fields) {
    assertThat(subject).isNotEmpty();
    assertThat(fields.length % 2).isEqualTo(0);
    fieldCounts.merge(decision, fields.length / 2, Math::max);
    if (decision == Decision.CALLER_GONE) {
      for (int index = 0; index < fields.length; index += 2) {
        callerGoneFields.put((String) fields[index], fields[index + 1]);
      }
    }
  }

  private static RequestHead resumption(String resumed) {
    return new RequestHead(
        "resumption",
        "linen.example",
        "/ask/1",
        Optional.of(ForwardHarness.KEY),
        Optional.empty(),
        Optional.of(ForwardHarness.prompt("north", 6_000, 2_000)),
        Optional.of(2L),
        Optional.of(resumed),
        TokenStatement.NONE,
        1);
  }

  @Test
  void everyDecisionWritesALine() {
    ForwardHarness harness = ForwardHarness.adaptive(3, 3, this::write);
    harness.setDesiredVersion(2);

    long served = harness.submitLongPrompt("north");
    harness.respond(served, 200);
    harness.breakConnection(served, Optional.of(2L));
    harness.respond(served, 200);
    harness.complete(served);

    long draft = harness.submitShortPrompt("letter");
    harness.respond(draft, ForwardHarness.limited(5));
    harness.breakConnection(draft, Optional.of(2L));

    long read = harness.submitCall("/read/1");
    harness.breakConnection(read, Optional.empty());
    harness.handle(new ForwardEvent.CallerGone(read));

    harness.submitCall("/nowhere/1");
    harness.handle(new ForwardEvent.Requested(1_000, resumption("request-" + served)));

    harness.restart("service-1", 1);

    for (int engine = 1; engine <= 3; engine++) {
      harness.handle(new ForwardEvent.ServerRemoved("engine-" + engine));
    }
    harness.submitLongPrompt("south");

    EnumSet<Decision> missing = EnumSet.allOf(Decision.class);
    missing.removeAll(NOT_HERE);
    missing.removeAll(fieldCounts.keySet());
    assertThat(missing).isEmpty();
    assertThat(fieldCounts.get(Decision.SEND)).isAtLeast(10);
    assertThat(fieldCounts.get(Decision.REFUSE)).isAtLeast(4);
  }

  @Test
  void aCrashWritesALine() {
    ForwardHarness harness = ForwardHarness.adaptive(0, 1, this::write);
    for (int crash = 1; crash <= 3; crash++) {
      long suspect = harness.submitCall("/book/1");
      harness.breakConnection(suspect, Optional.empty());
      harness.handle(new ForwardEvent.ServerChecked("service-1", true));
      harness.restart("service-1", crash);
      harness.advance(1_200_000);
    }
    assertThat(fieldCounts).containsKey(Decision.CRASH);
    assertThat(fieldCounts).containsKey(Decision.QUARANTINE);
  }

  /**
   * The phase in the line is the one before the caller left, which shows what the departure
   * interrupted.
   */
  @Test
  void aCallerGoneLineNamesThePhaseOfTheRequest() {
    ForwardHarness harness = ForwardHarness.adaptive(1, 1, this::write);
    long sent = harness.submitCall("/read/1");
    harness.advance(200_000);
    harness.handle(new ForwardEvent.CallerGone(sent));
    assertThat(callerGoneFields)
        .containsExactly("phase", "sent", "attempts", 1, "after_ms", 200L, "sent_ms", 200L);

    harness.handle(new ForwardEvent.ServerRemoved("service-1"));
    long waiting = harness.submitCall("/read/2");
    harness.handle(new ForwardEvent.CallerGone(waiting));
    assertThat(callerGoneFields)
        .containsExactly("phase", "waiting", "attempts", 0, "after_ms", 0L, "sent_ms", -1L);
  }

  /** Guards against a cut of which the log does not tell whether a configuration came before it. */
  @Test
  void aResponseThatEndsIncompleteNamesTheConfigurations() {
    Map<String, Object> breakOff = new HashMap<>();
    ForwardHarness harness =
        ForwardHarness.adaptive(
            1,
            0,
            (decision, subject, fields) -> {
              for (int index = 0;
                  decision == Decision.BREAK_OFF && index < fields.length;
                  index += 2) {
                breakOff.put((String) fields[index], fields[index + 1]);
              }
            });
    long stream = harness.submitShortPrompt("north");
    harness.respond(stream, 200);
    harness.advance(ForwardHarness.SECOND);
    harness.publish(2);
    harness.advance(200 * ForwardHarness.MILLI);

    harness.breakConnection(stream, Optional.of(3L));

    assertThat(breakOff)
        .containsAtLeast(
            "attempts",
            1,
            "moved",
            false,
            "opened_with",
            1L,
            "configuration",
            2L,
            "configuration_age_ms",
            200L,
            "left_ms",
            3_800L,
            "after_ms",
            1_200L);
  }

  @Test
  void refusalsAndFailuresAreNotable() {
    assertThat(
            List.of(Decision.REFUSE, Decision.ATTEMPT_FAILED, Decision.BREAK_OFF).stream()
                .allMatch(decision -> decision.weight() == Decision.Weight.NOTABLE))
        .isTrue();
  }
}

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

/** Each decision of a router writes a line that names what it is about and what decided it. */
final class DecisionCoverageTest {
  /** Written by sidecars and processes, and crashes, which have a test of their own. */
  private static final Set<Decision> NOT_HERE =
      EnumSet.of(Decision.ORDER, Decision.DEPENDENCY, Decision.PROCESS, Decision.CRASH);

  private final Map<Decision, Integer> fieldsOf = new HashMap<>();

  private final Map<String, Object> departure = new HashMap<>();

  private void write(Decision decision, String subject, Object... fields) {
    assertThat(subject).isNotEmpty();
    assertThat(fields.length % 2).isEqualTo(0);
    fieldsOf.merge(decision, fields.length / 2, Math::max);
    if (decision == Decision.CALLER_GONE) {
      for (int index = 0; index < fields.length; index += 2) {
        departure.put((String) fields[index], fields[index + 1]);
      }
    }
  }

  @Test
  void everyDecisionWritesALine() {
    ForwardHarness harness = ForwardHarness.ready(3, 3, this::write);
    harness.name(2);

    long served = harness.ask("north");
    harness.answer(served, 200);
    harness.broken(served, Optional.of(2L));
    harness.answer(served, 200);
    harness.complete(served);

    long draft = harness.draft("letter");
    harness.answer(draft, 200);
    harness.broken(draft, Optional.of(2L));

    long read = harness.call("/read/1");
    harness.broken(read, Optional.empty());
    harness.handle(new ForwardEvent.CallerGone(read));

    harness.call("/nowhere/1");

    for (int engine = 1; engine <= 3; engine++) {
      harness.handle(new ForwardEvent.ServerRemoved("engine-" + engine));
    }
    harness.ask("south");

    EnumSet<Decision> missing = EnumSet.allOf(Decision.class);
    missing.removeAll(NOT_HERE);
    missing.removeAll(fieldsOf.keySet());
    assertThat(missing).isEmpty();
    assertThat(fieldsOf.get(Decision.SEND)).isAtLeast(10);
    assertThat(fieldsOf.get(Decision.REFUSE)).isAtLeast(4);
  }

  @Test
  void aCrashWritesALine() {
    ForwardHarness harness = ForwardHarness.ready(0, 1, this::write);
    long suspect = harness.call("/book/1");
    harness.broken(suspect, Optional.empty());
    harness.advance(200_000);
    long next = harness.call("/read/2");
    harness.unsent(next);
    assertThat(fieldsOf).containsKey(Decision.CRASH);
  }

  /** The phase is the one in which the caller left, so that the line tells what it ended. */
  @Test
  void aDepartureTellsHowFarTheRequestHadCome() {
    ForwardHarness harness = ForwardHarness.ready(1, 1, this::write);
    long sent = harness.call("/read/1");
    harness.advance(200_000);
    harness.handle(new ForwardEvent.CallerGone(sent));
    assertThat(departure)
        .containsExactly("phase", "sent", "attempts", 1, "after_ms", 200L, "sent_ms", 200L);

    harness.handle(new ForwardEvent.ServerRemoved("service-1"));
    long waiting = harness.call("/read/2");
    harness.handle(new ForwardEvent.CallerGone(waiting));
    assertThat(departure)
        .containsExactly("phase", "waiting", "attempts", 0, "after_ms", 0L, "sent_ms", -1L);
  }

  @Test
  void theEnumSaysWhichLinesAreDroppedFirst() {
    assertThat(
            List.of(Decision.REFUSE, Decision.ATTEMPT_FAILED, Decision.BREAK_OFF).stream()
                .allMatch(decision -> decision.weight() == Decision.Weight.NOTABLE))
        .isTrue();
  }
}

package org.shallothook.coordination.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.configuration.ChangeRequest;
import org.shallothook.coordination.configuration.PublicationResult;
import org.shallothook.coordination.message.Hint;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.configuration.ConfigurationError;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/**
 * Offers to engines by role and priority class, and the check that a published template leaves
 * engines for ordinary work.
 */
final class RouterRoleTest {
  private static final String RESERVED = "engine-2";
  private static final String RARE_KEY = "rare-key";

  private static String rareTemplate(int priorityEngines) {
    return RouterHarness.template("rare", RARE_KEY, "3", "")
        .replaceFirst(
            "\\[rulebook\\]",
            "priority = priority\npriority-engines = " + priorityEngines + "\n[rulebook]");
  }

  private static RouterHarness ready(int engines) {
    RouterHarness harness = RouterHarness.ready(engines);
    harness.publish(rareTemplate(1));
    reportRole(harness, RESERVED, EngineRole.PRIORITY, 0);
    harness.commands.clear();
    return harness;
  }

  private static void reportRole(
      RouterHarness harness, String engine, EngineRole role, long queueDelayMicros) {
    harness.receive(
        engine,
        new PeerMessage.SidecarStatus(
            engine,
            "e-1",
            List.of(RouterHarness.VERSION),
            false,
            queueDelayMicros,
            role,
            List.of()));
  }

  private static Set<String> firstOffers(RouterHarness harness, String key) {
    Set<String> engines = new HashSet<>();
    for (int number = 0; number < 40; number++) {
      RequestId request =
          harness.chat(key, RouterHarness.MODEL, Optional.of("parish"), "question " + number);
      engines.add(harness.offers(request).get(0).peer());
    }
    return engines;
  }

  @Test
  void ordinaryWorkIsNotOfferedToAReservedEngine() {
    RouterHarness harness = ready(4);
    assertThat(firstOffers(harness, RouterHarness.KEY)).doesNotContain(RESERVED);
    for (int number = 0; number < 40; number++) {
      RequestId request = harness.chat("refused " + number);
      for (int offer = 0; offer < 3; offer++) {
        harness.reply(
            harness.latestOffer(request),
            Optional.of(RefusalReason.QUEUE_FULL),
            new Hint(0, 900_000, 1, 0));
      }
      assertThat(harness.offers(request).stream().map(RouterHarness.Sent::peer))
          .doesNotContain(RESERVED);
    }
  }

  @Test
  void anEngineThatIsNoLongerReservedGetsOrdinaryWorkAgain() {
    RouterHarness harness = ready(2);
    reportRole(harness, RESERVED, EngineRole.MIXED, 0);
    reportRole(harness, "engine-1", EngineRole.PRIORITY, 0);
    assertThat(firstOffers(harness, RouterHarness.KEY)).containsExactly(RESERVED);
  }

  @Test
  void reservedEngineTakesAllWorkWhenTheOthersAreLost() {
    RouterHarness harness = ready(3);
    harness.send(new RouterEvent.PeerLost("engine-1"));
    harness.send(new RouterEvent.PeerLost("engine-3"));
    assertThat(firstOffers(harness, RouterHarness.KEY)).containsExactly(RESERVED);
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 200_000})
  void priorityWorkIsOfferedToAReservedEngineFirstWhileItIsFree(long queueDelayMicros) {
    RouterHarness harness = ready(4);
    reportRole(harness, RESERVED, EngineRole.PRIORITY, queueDelayMicros);
    RouterHarness withoutRoles = ready(4);
    reportRole(withoutRoles, RESERVED, EngineRole.MIXED, queueDelayMicros);
    Set<String> expected =
        queueDelayMicros == 0 ? Set.of(RESERVED) : firstOffers(withoutRoles, RARE_KEY);
    assertThat(firstOffers(harness, RARE_KEY)).isEqualTo(expected);
  }

  @Test
  void priorityWorkThatAReservedEngineRefusesIsOfferedToOthers() {
    RouterHarness harness = ready(4);
    RequestId request =
        harness.chat(RARE_KEY, RouterHarness.MODEL, Optional.of("parish"), "question");
    harness.reply(
        harness.latestOffer(request),
        Optional.of(RefusalReason.QUEUE_FULL),
        new Hint(0, 900_000, 1, 0));
    assertThat(harness.latestOffer(request).peer()).isNotEqualTo(RESERVED);
    assertThat(harness.refusal(request)).isEmpty();
  }

  @Test
  void theStatusNamesTheRoles() {
    RouterHarness harness = ready(2);
    assertThat(
            harness.core.status().upstreams().stream()
                .map(upstream -> upstream.name() + " " + upstream.role()))
        .containsAtLeast("engine-1 mixed", RESERVED + " priority");
  }

  @ParameterizedTest
  @CsvSource({"3, 1, false", "3, 2, false", "3, 3, true", "1, 1, true", "0, 1, true"})
  void aTemplateThatLeavesNoEngineToOrdinaryWorkIsRefused(
      int engines, int priorityEngines, boolean isRefused) {
    RouterHarness harness = RouterHarness.ready(engines);
    List<PublicationResult> results = new ArrayList<>();
    ChangeRequest change =
        new ChangeRequest(
            "change", "rare", Optional.of(rareTemplate(priorityEngines)), Optional.empty());
    harness.core.publish(change, results::add, harness.now);
    if (!isRefused) {
      assertThat(results).isEmpty();
      assertThat(harness.commands(RouterCommand.AppendLog.class)).hasSize(1);
      return;
    }
    assertThat(harness.commands(RouterCommand.AppendLog.class)).isEmpty();
    assertThat(results).hasSize(1);
    assertThat(((PublicationResult.Invalid) results.get(0)).error())
        .contains(ConfigurationError.Kind.TOO_FEW_ENGINES.remedy());
  }
}

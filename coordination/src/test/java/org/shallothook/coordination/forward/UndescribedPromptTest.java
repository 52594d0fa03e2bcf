package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Prompts without a readable description are sent without a salt, and share parts with all others.
 */
final class UndescribedPromptTest {
  private final ForwardHarness harness = ForwardHarness.ready(3, 3);

  /** Servers let all requests without a salt share their parts, those of isolated teams too. */
  @ParameterizedTest
  @CsvSource({
    ForwardHarness.ISOLATED_KEY + "," + ForwardHarness.KEY,
    ForwardHarness.KEY + "," + ForwardHarness.ISOLATED_KEY,
    ForwardHarness.ISOLATED_KEY + "," + ForwardHarness.ISOLATED_KEY,
  })
  void undescribedPromptsShareNoParts(String key, String otherKey) {
    Optional<String> salt = saltOf("/draft/1", key);
    assertThat(salt).isPresent();
    assertThat(saltOf("/draft/1", otherKey)).isNotEqualTo(salt);
  }

  /** Two teams that name their requests alike would share parts again. */
  @Test
  void undescribedPromptsOfTwoTeamsShareNoPartsWhateverTheyAreNamed() {
    String salt = saltOf("/draft/1", ForwardHarness.ISOLATED_KEY).orElseThrow();
    Optional<String> other = saltOf(ForwardHarness.ready(3, 3), "/draft/1", ForwardHarness.KEY);
    assertThat(other).isPresent();
    assertThat(other.get()).isNotEqualTo(salt);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/book/1", "/read/1"})
  void callsOfPlainServicesHaveNoSalt(String target) {
    assertThat(saltOf(target, ForwardHarness.ISOLATED_KEY)).isEmpty();
  }

  private Optional<String> saltOf(String target, String key) {
    return saltOf(harness, target, key);
  }

  private static Optional<String> saltOf(ForwardHarness harness, String target, String key) {
    long request = harness.request(target, Optional.of(key), Optional.empty());
    return harness.sent(request).orElseThrow().dispatch().cacheSalt();
  }
}

package org.shallothook.coordination.sidecar;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.sidecar.SidecarHarness.attempt;
import static org.shallothook.coordination.sidecar.SidecarHarness.offer;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.BlockKeyChain;
import org.shallothook.state.cache.BlockKeySample;
import org.shallothook.state.cache.CacheIdentity;

/**
 * Tests that abbreviated keys of an offer match cached blocks, and that the engine never receives
 * abbreviated keys.
 */
final class OfferedKeysTest {
  private static final int BLOCK_BYTES = 10;
  private static final String PROMPT = "a rulebook, a tenant's letters and a question";
  private static final List<BlockKey> WHOLE = keysOf("guild", PROMPT);
  private static final List<BlockKey> ABBREVIATED =
      WHOLE.stream().map(BlockKey::abbreviated).toList();

  private final SidecarHarness sidecar =
      SidecarHarness.ready(2, SidecarHarness.options().blockBytes(BLOCK_BYTES));

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 3, 4})
  void abbreviatedKeysMatchAsManyBlocksAsWholeKeys(int cached) {
    store(WHOLE.subList(0, cached));

    assertThat(matched(ABBREVIATED)).isEqualTo(cached);
    assertThat(matched(WHOLE)).isEqualTo(cached);
  }

  @ParameterizedTest
  @CsvSource({"0, 0", "7, 4", "28, 28", "48, 48", "50, 50"})
  void sampledKeysOfLongPromptFindCachedBlocks(int cached, int matched) {
    String prompt = "0123456789".repeat(50);
    List<BlockKey> whole = keysOf("guild", prompt);
    List<BlockKey> all = whole.stream().map(BlockKey::abbreviated).toList();
    store(whole.subList(0, cached));

    assertThat(matched(BlockKeySample.of(all), prompt.length())).isEqualTo(matched);
    assertThat(matched(all, prompt.length())).isEqualTo(cached);
  }

  @Test
  void engineReceivesAllKeysOfPromptOfferedWithSampledKeys() {
    String prompt = "0123456789".repeat(50);
    List<BlockKey> whole = keysOf("guild", prompt);
    submit(BlockKeySample.of(whole), prompt);

    assertThat(startedKeys()).isEqualTo(whole);
  }

  @Test
  void engineReceivesKeysDerivedFromPrompt() {
    submit(ABBREVIATED, PROMPT);

    assertThat(startedKeys()).isEqualTo(WHOLE);
  }

  @Test
  void computedPromptCountsAsCachedBeforeCacheEventsArrive() {
    submit(ABBREVIATED, PROMPT);
    sidecar.tokens(attempt("one"), 0, 1);

    assertThat(matched(ABBREVIATED)).isEqualTo(WHOLE.size());
  }

  @Test
  void abbreviationCollisionAffectsOnlyTheHint() {
    BlockKey other = new BlockKey(WHOLE.get(0).high() + 1, WHOLE.get(0).low());
    store(List.of(other));

    assertThat(matched(ABBREVIATED)).isEqualTo(1);
    submit(ABBREVIATED, PROMPT);
    assertThat(startedKeys()).isEqualTo(WHOLE);
  }

  @ParameterizedTest
  @CsvSource({"another prompt of several blocks, 3", "short, 0"})
  void offeredKeysThatDoNotMatchThePromptAreDropped(String prompt, int blocks) {
    submit(ABBREVIATED, prompt);

    assertThat(startedKeys()).isEqualTo(keysOf("guild", prompt));
    assertThat(startedKeys()).hasSize(blocks);
  }

  private int matched(List<BlockKey> keys) {
    return matched(keys, PROMPT.length());
  }

  private int matched(List<BlockKey> keys, int promptBytes) {
    String request = "probe-" + sidecar.sent(PeerMessage.OfferReply.class).size();
    sidecar.receive(offer(request).keys(keys).promptBytes(promptBytes).build());
    return sidecar.reply(attempt(request)).hint().matchedBlocks();
  }

  private void submit(List<BlockKey> keys, String prompt) {
    sidecar.receive(offer("one").keys(keys).promptBytes(prompt.length()).build());
    sidecar.receive(new PeerMessage.Submit(attempt("one"), prompt, ""));
  }

  private List<BlockKey> startedKeys() {
    return sidecar.commands(SidecarCommand.StartAnswer.class).get(0).keys();
  }

  private void store(List<BlockKey> keys) {
    List<CacheChange> changes = keys.stream().map(key -> new CacheChange(key, true)).toList();
    sidecar.handle(new SidecarEvent.CacheChanged("e-1", 0, changes));
  }

  private static List<BlockKey> keysOf(String team, String prompt) {
    CacheIdentity identity = new CacheIdentity(team, SidecarHarness.VERSION);
    return BlockKeyChain.keysOf(identity, prompt.getBytes(StandardCharsets.UTF_8), BLOCK_BYTES);
  }
}

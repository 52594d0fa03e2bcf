package org.shallothook.benchmarks.load;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.shallothook.benchmarks.demo.ExampleDeployment;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.BlockKeyChain;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * One chat of the load: what a caller sends, and the same prompt as an engine gets it.
 *
 * <p>The question fills the prompt up to just over a whole number of blocks, so that an engine that
 * has cached it computes next to nothing. Invariant: equal for both ways of sending. Immutable and
 * thread-safe.
 *
 * @param team team that asks
 * @param template template of the team
 * @param tenant tenant of the team
 * @param question what is asked
 */
record LoadPrompt(
    ExampleDeployment.Team team, TeamTemplate template, String tenant, String question) {
  static final int BLOCK_BYTES = 4_000;

  private static final int BYTES_BEYOND_BLOCKS = 40;
  private static final String FILL = "linen ";

  /** Creates the chat of a tenant, whose answer has a number of tokens. */
  static LoadPrompt of(
      ExampleDeployment.Team team, TeamTemplate template, String tenant, int tokens) {
    String ending = "answer-tokens:" + tokens;
    int bytes = utf8(text(template, tenant, ending)).length;
    int fill = Math.floorMod(BYTES_BEYOND_BLOCKS - bytes, BLOCK_BYTES);
    String question = FILL.repeat(fill / FILL.length() + 1).substring(0, fill) + ending;
    return new LoadPrompt(team, template, tenant, question);
  }

  /** Returns the prompt as a router renders it. */
  String rendered() {
    return text(template, tenant, question);
  }

  /** Returns the keys of the prompt's whole blocks. */
  List<BlockKey> keys() {
    return BlockKeyChain.keysOf(template.cacheIdentity(), utf8(rendered()), BLOCK_BYTES);
  }

  private static String text(TeamTemplate template, String tenant, String question) {
    return part("rulebook", template.rulebook())
        + part("tenant", template.tenantText(tenant).orElse(""))
        + part("user", question)
        + "\n<|assistant|>\n";
  }

  private static String part(String name, String content) {
    return "\n<|" + name + "|>\n" + content;
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}

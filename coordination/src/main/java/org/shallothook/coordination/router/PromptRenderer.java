package org.shallothook.coordination.router;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.shallothook.coordination.opening.OpeningText;
import org.shallothook.coordination.placement.PrefixLevel;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.BlockKeyChain;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * Renders a team's template and a conversation into a prompt.
 *
 * <p>Order: rulebook, tenant, messages, cue for the answer. Every part starts with a marker line,
 * and no content can contain one.
 *
 * <p>Invariant: the prompt of a conversation's next turn starts with the bytes of the earlier
 * prompt. Immutable and thread-safe.
 */
final class PromptRenderer {
  private final int blockBytes;

  /** Creates a renderer for blocks of the given size. */
  PromptRenderer(int blockBytes) {
    this.blockBytes = blockBytes;
  }

  /**
   * Renders a prompt.
   *
   * @param team template of the team
   * @param identity scope of cache reuse that the prompt belongs to
   * @param tenantText text of the tenant, or the empty string
   * @param messages conversation, oldest first, not empty
   */
  RenderedPrompt render(
      TeamTemplate team, CacheIdentity identity, String tenantText, List<ChatMessage> messages) {
    StringBuilder text = new StringBuilder();
    OpeningText.appendRulebook(text, team);
    int rulebookBytes = utf8Length(text);
    OpeningText.appendTenant(text, tenantText);
    int tenantBytes = utf8Length(text);
    int earlierTurns = 0;
    int firstTurn = 0;
    for (ChatMessage message : messages) {
      if (message.role().equals("assistant")) {
        earlierTurns = text.length();
      }
      OpeningText.appendPart(text, message.role(), message.content());
      if (firstTurn == 0 && message.role().equals("user")) {
        firstTurn = text.length();
      }
    }
    String prompt = text.append(OpeningText.MARKER).append("assistant|>\n").toString();
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    List<BlockKey> keys = BlockKeyChain.keysOf(identity, bytes, blockBytes);
    String opening = prompt.substring(0, firstTurn == 0 ? prompt.length() : firstTurn);
    List<PrefixLevel> levels =
        levelsOf(identity, keys, opening, rulebookBytes / blockBytes, tenantBytes / blockBytes);
    int earlierBlocks =
        earlierTurns == 0
            ? tenantBytes / blockBytes
            : utf8Length(prompt.substring(0, earlierTurns)) / blockBytes;
    return new RenderedPrompt(prompt, bytes, keys, levels, earlierBlocks);
  }

  private static List<PrefixLevel> levelsOf(
      CacheIdentity identity,
      List<BlockKey> keys,
      String opening,
      int rulebookBlocks,
      int tenantBlocks) {
    long scope = RendezvousHash.hashOf(identity.toString());
    List<PrefixLevel> levels = new ArrayList<>();
    long conversation = RendezvousHash.combine(scope, RendezvousHash.hashOf(opening));
    levels.add(new PrefixLevel(PrefixLevel.Kind.CONVERSATION, conversation, keys.size()));
    if (tenantBlocks > rulebookBlocks) {
      levels.add(sharedLevel(PrefixLevel.Kind.TENANT, keys, tenantBlocks));
    }
    if (rulebookBlocks > 0) {
      levels.add(sharedLevel(PrefixLevel.Kind.RULEBOOK, keys, rulebookBlocks));
    }
    return levels;
  }

  private static PrefixLevel sharedLevel(PrefixLevel.Kind kind, List<BlockKey> keys, int blocks) {
    BlockKey last = keys.get(blocks - 1);
    return new PrefixLevel(kind, RendezvousHash.combine(last.high(), last.low()), blocks);
  }

  private static int utf8Length(CharSequence text) {
    return text.toString().getBytes(StandardCharsets.UTF_8).length;
  }
}

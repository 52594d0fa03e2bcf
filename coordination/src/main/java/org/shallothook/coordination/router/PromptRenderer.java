package org.shallothook.coordination.router;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.placement.PrefixLevel;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.quarantine.Fingerprint;
import org.shallothook.coordination.warmup.TenantPrefixText;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.BlockKeyPrefix;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * Renders a team's template and a conversation into a prompt.
 *
 * <p>Order: rulebook, tenant, messages, cue for the answer. Every part starts with a marker line,
 * and no content can contain one. The part before the messages is hashed once for each template,
 * model version and tenant.
 *
 * <p>Invariant: the prompt of a conversation's next turn starts with the bytes of the earlier
 * prompt; what was rendered before changes no result. Not thread-safe.
 */
final class PromptRenderer {
  /** Greatest number of openings that are kept hashed. */
  static final int MAXIMUM_PREFIXES = 1_024;

  private static final String RESPONSE_MARKER = TenantPrefixText.MARKER + "assistant|>\n";

  private final int blockBytes;
  private final TenantPrefixCache prefixes;

  /** Creates a renderer for blocks of the given size. */
  PromptRenderer(int blockBytes, Counters counters) {
    this.blockBytes = blockBytes;
    this.prefixes = new TenantPrefixCache(MAXIMUM_PREFIXES, counters);
  }

  /**
   * Renders a prompt.
   *
   * @param team template of the team
   * @param identity scope of cache reuse that the prompt belongs to
   * @param tenant tenant whose text is part of the prompt, if any
   * @param messages conversation, oldest first, not empty
   */
  RenderedPrompt render(
      TeamTemplate team,
      CacheIdentity identity,
      Optional<String> tenant,
      List<ChatMessage> messages) {
    StringBuilder text = new StringBuilder();
    TenantPrefixText.appendRulebook(text, team);
    int rulebookEnd = text.length();
    TenantPrefixText.appendTenant(text, tenant.flatMap(team::tenantText).orElse(""));
    int openingEnd = text.length();
    int earlierTurns = openingEnd;
    int firstTurn = 0;
    for (ChatMessage message : messages) {
      if (message.role().equals("assistant")) {
        earlierTurns = text.length();
      }
      TenantPrefixText.appendPart(text, message.role(), message.content());
      if (firstTurn == 0 && message.role().equals("user")) {
        firstTurn = text.length();
      }
    }
    String prompt = text.append(RESPONSE_MARKER).toString();
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    HashedTenantPrefix opening =
        prefixes.get(
            team,
            identity,
            tenant.orElse(""),
            () -> hashPrefix(identity, prompt.substring(0, openingEnd), rulebookEnd));
    List<BlockKey> keys = opening.keys().extend(bytes).keys();
    String conversation = prompt.substring(0, firstTurn == 0 ? prompt.length() : firstTurn);
    int earlierBytes = opening.bytes() + utf8Length(prompt.substring(openingEnd, earlierTurns));
    return new RenderedPrompt(
        prompt,
        bytes,
        keys,
        levelsOf(identity, keys, conversation, opening),
        earlierBytes / blockBytes,
        opening.fingerprint().of(bytes));
  }

  private HashedTenantPrefix hashPrefix(CacheIdentity identity, String opening, int rulebookEnd) {
    byte[] bytes = opening.getBytes(StandardCharsets.UTF_8);
    return new HashedTenantPrefix(
        BlockKeyPrefix.empty(identity, blockBytes).extend(bytes),
        Fingerprint.empty(identity.team()).extend(bytes),
        bytes.length,
        utf8Length(opening.substring(0, rulebookEnd)) / blockBytes);
  }

  private static List<PrefixLevel> levelsOf(
      CacheIdentity identity,
      List<BlockKey> keys,
      String conversationText,
      HashedTenantPrefix opening) {
    int rulebookBlocks = opening.rulebookBlocks();
    int tenantBlocks = opening.keys().keys().size();
    long scope = RendezvousHash.hashOf(scopeOf(identity));
    List<PrefixLevel> levels = new ArrayList<>();
    long conversation = RendezvousHash.combine(scope, RendezvousHash.hashOf(conversationText));
    levels.add(new PrefixLevel(PrefixLevel.Kind.CONVERSATION, conversation, keys.size()));
    if (tenantBlocks > rulebookBlocks) {
      levels.add(sharedLevel(PrefixLevel.Kind.TENANT, keys, tenantBlocks));
    }
    if (rulebookBlocks > 0) {
      levels.add(sharedLevel(PrefixLevel.Kind.RULEBOOK, keys, rulebookBlocks));
    }
    return levels;
  }

  /** Spelt out, since routers of different builds must place a conversation alike. */
  private static String scopeOf(CacheIdentity identity) {
    ModelVersion version = identity.modelVersion();
    return "CacheIdentity[team="
        + identity.team()
        + ", modelVersion=ModelVersion[model="
        + version.model()
        + ", version="
        + version.version()
        + ", adapter="
        + version.adapter()
        + "]]";
  }

  private static PrefixLevel sharedLevel(PrefixLevel.Kind kind, List<BlockKey> keys, int blocks) {
    BlockKey last = keys.get(blocks - 1);
    return new PrefixLevel(kind, RendezvousHash.combine(last.high(), last.low()), blocks);
  }

  private static int utf8Length(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }
}

package org.shallothook.coordination.router;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.placement.PrefixLevel;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.quarantine.Fingerprint;
import org.shallothook.coordination.quarantine.RequestSignature;
import org.shallothook.coordination.warmup.TenantPrefixText;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.BlockKeyPrefix;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * Renders a team's template and a conversation into a prompt.
 *
 * <p>A prompt consists of the rulebook, the tenant's text, the messages, and the marker of the
 * assistant's response. Every part starts with a marker line, which content cannot contain. The
 * prefix before the messages is hashed once for each template, model version and tenant.
 *
 * <p>Invariant: the prompt of a conversation's next turn starts with the bytes of the previous
 * prompt. Cached prefixes do not affect results. Not thread-safe.
 */
final class PromptRenderer {
  /** Maximum number of tenant prefixes whose hashes are cached. */
  static final int MAXIMUM_PREFIXES = 1_024;

  private static final String RESPONSE_MARKER = TenantPrefixText.MARKER + "assistant|>\n";

  private final int blockBytes;
  private final TenantPrefixCache prefixes;

  /** Creates a renderer for blocks of the given size, in bytes. */
  PromptRenderer(int blockBytes, Counters counters) {
    this.blockBytes = blockBytes;
    this.prefixes = new TenantPrefixCache(MAXIMUM_PREFIXES, counters);
  }

  /**
   * Renders a prompt.
   *
   * @param team template of the team that sent the request
   * @param identity scope of prefix cache reuse that the prompt belongs to
   * @param tenant tenant whose text is part of the prompt, if any
   * @param messages conversation, oldest message first; not empty
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
    int prefixEnd = text.length();
    int earlierTurns = prefixEnd;
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
    HashedTenantPrefix prefix =
        prefixes.get(
            team,
            identity,
            tenant.orElse(""),
            () -> hashPrefix(identity, prompt.substring(0, prefixEnd), rulebookEnd));
    List<BlockKey> keys = prefix.keys().extend(bytes).keys();
    String conversation = prompt.substring(0, firstTurn == 0 ? prompt.length() : firstTurn);
    int earlierBytes = prefix.bytes() + utf8Length(prompt.substring(prefixEnd, earlierTurns));
    return new RenderedPrompt(
        prompt,
        bytes,
        keys,
        levelsOf(identity, keys, conversation, prefix),
        earlierBytes / blockBytes,
        prefix.fingerprint().of(bytes),
        signatureOf(team.name(), prompt, tenant, messages));
  }

  /**
   * Returns the parts that other prompts of the team may have: the tenant's text and all messages
   * but the last.
   */
  private static RequestSignature signatureOf(
      String team, String prompt, Optional<String> tenant, List<ChatMessage> messages) {
    long scope = RendezvousHash.hashOf(team);
    List<Long> parts = new ArrayList<>();
    tenant.ifPresent(
        name -> parts.add(RendezvousHash.combine(scope, RendezvousHash.hashOf("tenant " + name))));
    messages.subList(0, messages.size() - 1).stream()
        .map(message -> RendezvousHash.combine(scope, RendezvousHash.hashOf(message.content())))
        .distinct()
        .forEach(parts::add);
    return new RequestSignature(
        RendezvousHash.combine(scope, RendezvousHash.hashOf(prompt)), parts);
  }

  private HashedTenantPrefix hashPrefix(CacheIdentity identity, String prefix, int rulebookEnd) {
    byte[] bytes = prefix.getBytes(StandardCharsets.UTF_8);
    return new HashedTenantPrefix(
        BlockKeyPrefix.empty(identity, blockBytes).extend(bytes),
        Fingerprint.empty(identity.team()).extend(bytes),
        bytes.length,
        utf8Length(prefix.substring(0, rulebookEnd)) / blockBytes);
  }

  private static List<PrefixLevel> levelsOf(
      CacheIdentity identity,
      List<BlockKey> keys,
      String conversationText,
      HashedTenantPrefix prefix) {
    int rulebookBlocks = prefix.rulebookBlocks();
    int tenantBlocks = prefix.keys().keys().size();
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

  /**
   * Returns the cache scope in a fixed format, independent of {@code toString()}, because routers
   * of different builds must hash a conversation to the same upstream.
   */
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

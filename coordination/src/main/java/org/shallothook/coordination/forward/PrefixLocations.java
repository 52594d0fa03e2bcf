package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Tracks which servers are assumed to have which prompt prefixes cached, from the prompts that this
 * router sent and the announcements of other routers.
 *
 * <p>An entry is an estimate that expires by the size of the server's cache: once as many other
 * tokens as its usable part holds were prefilled there since the last use, the prefix counts as
 * evicted. Only performance depends on these estimates, not correctness.
 *
 * <p>Invariant: holds a bounded number of prefixes and evicts the least recently used first. Not
 * thread-safe.
 */
final class PrefixLocations {
  /** Maximum number of prefixes; enough for all that servers keep for some seconds. */
  private static final int CAPACITY = 8_192;

  /** Share of a server's cache that prefixes can use, as running requests occupy the rest. */
  private static final double USABLE_MEMORY_SHARE = 0.75;

  private final Map<Long, Map<String, Entry>> holders = new LinkedHashMap<>(CAPACITY, 0.75f, true);
  private final Map<String, Long> prefilledTokens = new HashMap<>();

  /** Tokens prefilled at a server after which a use is announced again, as a share of its cache. */
  private static final double REANNOUNCE_SHARE = 0.2;

  /**
   * Last use of a prefix at a server and its last announcement to all routers, each recorded as the
   * number of tokens prefilled at the server until then.
   *
   * @param usedAtMicros time of the last use, in microseconds
   * @param prefilledAtUse tokens prefilled at the server until the last use
   * @param prefilledAtAnnouncement tokens prefilled at the server until the last announcement
   * @param isPrefilled whether the prefix has been prefilled, rather than only sent
   */
  private record Entry(
      long usedAtMicros, long prefilledAtUse, long prefilledAtAnnouncement, boolean isPrefilled) {}

  /**
   * Records that a prompt with these prefixes is being sent to a server.
   *
   * @return hashes of the prefixes to announce: other routers do not know of them, or would soon
   *     assume them evicted
   */
  List<Long> onSent(List<PromptPrefix> prefixes, String server, long memoryTokens, long nowMicros) {
    List<Long> toAnnounce = new ArrayList<>();
    long prefilled = prefilledTokens.getOrDefault(server, 0L);
    for (PromptPrefix prefix : prefixes) {
      Entry entry = entries(prefix.hash()).get(server);
      boolean isAnnounced =
          entry == null
              || prefilled - entry.prefilledAtAnnouncement()
                  >= REANNOUNCE_SHARE * Math.max(1, memoryTokens);
      if (isAnnounced) {
        toAnnounce.add(prefix.hash());
      }
      long prefilledAtAnnouncement = isAnnounced ? prefilled : entry.prefilledAtAnnouncement();
      boolean isPrefilled = entry != null && entry.isPrefilled();
      entries(prefix.hash())
          .put(server, new Entry(nowMicros, prefilled, prefilledAtAnnouncement, isPrefilled));
    }
    Iterator<Long> oldest = holders.keySet().iterator();
    while (holders.size() > CAPACITY && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
    return toAnnounce;
  }

  /**
   * Records that a server has prefilled a prompt.
   *
   * @param newTokens estimate of the tokens that the prompts of all routers have added to the
   *     server's cache meanwhile
   */
  void onPrefilled(List<PromptPrefix> prefixes, String server, long newTokens, long nowMicros) {
    prefilledTokens.merge(server, newTokens, Long::sum);
    for (PromptPrefix prefix : prefixes) {
      Entry entry = entries(prefix.hash()).get(server);
      long prefilled = prefilledTokens.get(server);
      long prefilledAtAnnouncement = entry == null ? prefilled : entry.prefilledAtAnnouncement();
      entries(prefix.hash())
          .put(server, new Entry(nowMicros, prefilled, prefilledAtAnnouncement, true));
    }
  }

  /** Records that another router has sent a server a prompt with these prefixes. */
  void onAnnounced(List<Long> prefixes, String server, long nowMicros) {
    long prefilled = prefilledTokens.getOrDefault(server, 0L);
    prefixes.forEach(
        prefix -> entries(prefix).put(server, new Entry(nowMicros, prefilled, prefilled, true)));
  }

  /** Records that a server did not prefill a prompt that was sent to it. */
  void onPrefillCanceled(List<PromptPrefix> prefixes, String server) {
    for (PromptPrefix prefix : prefixes) {
      entries(prefix.hash())
          .computeIfPresent(server, (name, entry) -> entry.isPrefilled() ? entry : null);
    }
  }

  /** Records that a server has lost its cache. */
  void onCacheLost(String server) {
    holders.values().forEach(entries -> entries.remove(server));
  }

  /**
   * Returns how many tokens of a prompt a server is assumed to have cached when it prefills it.
   *
   * @param memoryTokens tokens that the server's cache can hold; 0 if unknown
   */
  int cachedTokens(List<PromptPrefix> prefixes, String server, long memoryTokens) {
    int tokens = 0;
    for (PromptPrefix prefix : prefixes) {
      if (isAssumedCached(prefix.hash(), server, memoryTokens)) {
        tokens = Math.max(tokens, prefix.tokens());
      }
    }
    return tokens;
  }

  /**
   * Returns whether a server or store is assumed to hold a prefix that was used there recently.
   *
   * @param sinceMicros earliest time of the last use, in microseconds
   */
  boolean isCachedSince(PromptPrefix prefix, String holder, long memoryTokens, long sinceMicros) {
    Entry entry = holders.getOrDefault(prefix.hash(), Map.of()).get(holder);
    return entry != null
        && entry.usedAtMicros() >= sinceMicros
        && isAssumedCached(prefix.hash(), holder, memoryTokens);
  }

  /**
   * Returns the server that most recently used the longest prefix that any allowed server holds.
   */
  Optional<String> holder(
      List<PromptPrefix> prefixes, long memoryTokens, Predicate<String> isAllowed) {
    List<PromptPrefix> longestFirst = new ArrayList<>(prefixes);
    longestFirst.sort(Comparator.comparingInt(PromptPrefix::tokens).reversed());
    for (PromptPrefix prefix : longestFirst) {
      Optional<String> newest =
          holders.getOrDefault(prefix.hash(), Map.of()).entrySet().stream()
              .filter(entry -> entry.getValue().isPrefilled())
              .filter(entry -> isAllowed.test(entry.getKey()))
              .filter(entry -> isAssumedCached(prefix.hash(), entry.getKey(), memoryTokens))
              .max(Comparator.comparingLong(entry -> entry.getValue().usedAtMicros()))
              .map(Map.Entry::getKey);
      if (newest.isPresent()) {
        return newest;
      }
    }
    return Optional.empty();
  }

  private boolean isAssumedCached(long prefix, String server, long memoryTokens) {
    Entry entry = holders.getOrDefault(prefix, Map.of()).get(server);
    if (entry == null) {
      return false;
    }
    long prefilledSince = prefilledTokens.getOrDefault(server, 0L) - entry.prefilledAtUse();
    return memoryTokens == 0 || prefilledSince < USABLE_MEMORY_SHARE * memoryTokens;
  }

  private Map<String, Entry> entries(long prefix) {
    return holders.computeIfAbsent(prefix, hash -> new HashMap<>());
  }
}

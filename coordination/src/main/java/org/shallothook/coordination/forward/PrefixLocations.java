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
 * Which servers this router believes to have which openings of prompts cached, from what it sent
 * and what other routers have told.
 *
 * <p>An entry is a guess that ends with the server's memory: once so many other tokens were read
 * there since the last use as the server can hold, the opening counts as dropped. Nothing but speed
 * depends on it.
 *
 * <p>Invariant: holds a bounded number of openings, the least recently used dropped first. Not
 * thread-safe.
 */
final class PrefixLocations {
  /** Openings remembered; enough for all that servers keep for some seconds. */
  private static final int CAPACITY = 8_192;

  /** Part of a server's memory that is counted on, as running requests take some of it. */
  private static final double USABLE_PART = 0.75;

  private final Map<Long, Map<String, Entry>> holders = new LinkedHashMap<>(CAPACITY, 0.75f, true);
  private final Map<String, Long> tokensRead = new HashMap<>();

  /** Part of a server's memory after whose reading other routers are told of a use again. */
  private static final double TELL_PART = 0.2;

  /**
   * When an opening was last used, and when all routers last knew of a use, each by the tokens read
   * at its server until then.
   */
  private record Entry(long usedAtMicros, long tokensReadBefore, long toldBefore, boolean isRead) {}

  /**
   * Takes in that a prompt with these openings is on its way to a server.
   *
   * @return the openings that other routers would soon take for dropped there
   */
  List<Long> onSent(List<PromptPrefix> openings, String server, long memoryTokens, long nowMicros) {
    List<Long> toTell = new ArrayList<>();
    long read = tokensRead.getOrDefault(server, 0L);
    for (PromptPrefix opening : openings) {
      Entry known = entries(opening.hash()).get(server);
      boolean isTold =
          known == null || read - known.toldBefore() >= TELL_PART * Math.max(1, memoryTokens);
      if (isTold) {
        toTell.add(opening.hash());
      }
      long toldBefore = isTold ? read : known.toldBefore();
      boolean isRead = known != null && known.isRead();
      entries(opening.hash()).put(server, new Entry(nowMicros, read, toldBefore, isRead));
    }
    Iterator<Long> oldest = holders.keySet().iterator();
    while (holders.size() > CAPACITY && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
    return toTell;
  }

  /**
   * Takes in that a server has read a prompt.
   *
   * @param newTokens tokens that all routers together have made the server keep meanwhile
   */
  void onRead(List<PromptPrefix> openings, String server, long newTokens, long nowMicros) {
    tokensRead.merge(server, newTokens, Long::sum);
    for (PromptPrefix opening : openings) {
      Entry known = entries(opening.hash()).get(server);
      long read = tokensRead.get(server);
      long toldBefore = known == null ? read : known.toldBefore();
      entries(opening.hash()).put(server, new Entry(nowMicros, read, toldBefore, true));
    }
  }

  /** Takes in that another router has sent a server a prompt with these openings. */
  void onTold(List<Long> openings, String server, long nowMicros) {
    long read = tokensRead.getOrDefault(server, 0L);
    openings.forEach(
        opening -> entries(opening).put(server, new Entry(nowMicros, read, read, true)));
  }

  /** Takes in that a server did not read a prompt after all. */
  void onNotRead(List<PromptPrefix> openings, String server) {
    for (PromptPrefix opening : openings) {
      entries(opening.hash()).computeIfPresent(server, (name, one) -> one.isRead() ? one : null);
    }
  }

  /** Takes in that a server has lost all that it had cached. */
  void onEmptied(String server) {
    holders.values().forEach(entries -> entries.remove(server));
  }

  /**
   * Returns how many tokens of a prompt a server is believed to have by the time it reads it.
   *
   * @param memoryTokens tokens that the server can hold
   */
  int cachedTokens(List<PromptPrefix> openings, String server, long memoryTokens) {
    int tokens = 0;
    for (PromptPrefix opening : openings) {
      if (isKept(opening.hash(), server, memoryTokens)) {
        tokens = Math.max(tokens, opening.tokens());
      }
    }
    return tokens;
  }

  /**
   * Returns whether a place is believed to have an opening, told of within a time.
   *
   * @param sinceMicros time before which what was told does not count
   */
  boolean hasSince(PromptPrefix opening, String place, long memoryTokens, long sinceMicros) {
    Entry entry = holders.getOrDefault(opening.hash(), Map.of()).get(place);
    return entry != null
        && entry.usedAtMicros() >= sinceMicros
        && isKept(opening.hash(), place, memoryTokens);
  }

  /** Returns the server that most recently had the longest opening, among those allowed. */
  Optional<String> holder(
      List<PromptPrefix> openings, long memoryTokens, Predicate<String> isAllowed) {
    List<PromptPrefix> longestFirst = new ArrayList<>(openings);
    longestFirst.sort(Comparator.comparingInt(PromptPrefix::tokens).reversed());
    for (PromptPrefix opening : longestFirst) {
      Optional<String> newest =
          holders.getOrDefault(opening.hash(), Map.of()).entrySet().stream()
              .filter(entry -> entry.getValue().isRead())
              .filter(entry -> isAllowed.test(entry.getKey()))
              .filter(entry -> isKept(opening.hash(), entry.getKey(), memoryTokens))
              .max(Comparator.comparingLong(entry -> entry.getValue().usedAtMicros()))
              .map(Map.Entry::getKey);
      if (newest.isPresent()) {
        return newest;
      }
    }
    return Optional.empty();
  }

  private boolean isKept(long opening, String server, long memoryTokens) {
    Entry entry = holders.getOrDefault(opening, Map.of()).get(server);
    if (entry == null) {
      return false;
    }
    long since = tokensRead.getOrDefault(server, 0L) - entry.tokensReadBefore();
    return memoryTokens == 0 || since < USABLE_PART * memoryTokens;
  }

  private Map<String, Entry> entries(long opening) {
    return holders.computeIfAbsent(opening, hash -> new HashMap<>());
  }
}

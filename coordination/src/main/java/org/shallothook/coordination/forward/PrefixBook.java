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
 * Which servers this router believes to have which openings of prompts cached, from what it sent.
 *
 * <p>An entry is a guess: the server may have dropped the parts, and other routers may have sent
 * the same opening elsewhere. Nothing but speed depends on it.
 *
 * <p>Invariant: holds a bounded number of openings, the least recently used dropped first. Not
 * thread-safe.
 */
final class PrefixBook {
  /** Openings remembered; enough for all that servers keep for some seconds. */
  private static final int CAPACITY = 8_192;

  private final Map<Long, Map<String, Long>> usedAtMicros =
      new LinkedHashMap<>(CAPACITY, 0.75f, true);

  /** Takes in that a server reads or has read a prompt with these openings. */
  void onSent(List<Opening> openings, String server, long nowMicros) {
    for (Opening opening : openings) {
      usedAtMicros.computeIfAbsent(opening.hash(), hash -> new HashMap<>()).put(server, nowMicros);
    }
    Iterator<Long> oldest = usedAtMicros.keySet().iterator();
    while (usedAtMicros.size() > CAPACITY && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
  }

  /** Takes in that another router has sent a prompt with these openings to a server. */
  void onTold(List<Long> openings, String server, long nowMicros) {
    for (long opening : openings) {
      usedAtMicros.computeIfAbsent(opening, hash -> new HashMap<>()).put(server, nowMicros);
    }
  }

  /** Returns the openings that a server is not known to have. */
  List<Long> unknown(List<Opening> openings, String server) {
    return openings.stream()
        .map(Opening::hash)
        .filter(hash -> !usedAtMicros.getOrDefault(hash, Map.of()).containsKey(server))
        .toList();
  }

  /** Takes in that a server did not read a prompt after all. */
  void onNotRead(List<Opening> openings, String server) {
    for (Opening opening : openings) {
      Map<String, Long> holders = usedAtMicros.get(opening.hash());
      if (holders != null) {
        holders.remove(server);
      }
    }
  }

  /** Takes in that a server has lost all that it had cached. */
  void onEmptied(String server) {
    usedAtMicros.values().forEach(holders -> holders.remove(server));
  }

  /** Returns how many tokens of a prompt a server is believed to have. */
  int cachedTokens(List<Opening> openings, String server) {
    int tokens = 0;
    for (Opening opening : openings) {
      if (usedAtMicros.getOrDefault(opening.hash(), Map.of()).containsKey(server)) {
        tokens = Math.max(tokens, opening.tokens());
      }
    }
    return tokens;
  }

  /** Returns the server that most recently had the longest opening, among those allowed. */
  Optional<String> holder(List<Opening> openings, Predicate<String> isAllowed) {
    List<Opening> longestFirst = new ArrayList<>(openings);
    longestFirst.sort(Comparator.comparingInt(Opening::tokens).reversed());
    for (Opening opening : longestFirst) {
      Optional<String> newest =
          usedAtMicros.getOrDefault(opening.hash(), Map.of()).entrySet().stream()
              .filter(entry -> isAllowed.test(entry.getKey()))
              .max(Map.Entry.comparingByValue())
              .map(Map.Entry::getKey);
      if (newest.isPresent()) {
        return newest;
      }
    }
    return Optional.empty();
  }
}

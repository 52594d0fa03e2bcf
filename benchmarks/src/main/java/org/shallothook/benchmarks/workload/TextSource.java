package org.shallothook.benchmarks.workload;

import java.util.SplittableRandom;

/** Seeded text without line breaks. Not thread-safe. */
final class TextSource {
  private static final String[] WORDS = {
    "linen", "siding", "rota", "wagon", "cloth", "shift", "altar", "timber", "week", "track",
    "guild", "driver", "chest", "switch", "feast", "load"
  };

  private final SplittableRandom random;

  TextSource(SplittableRandom random) {
    this.random = random;
  }

  /** Returns text of that many bytes. */
  String text(int bytes) {
    StringBuilder text = new StringBuilder(bytes + WORDS.length);
    while (text.length() < bytes) {
      text.append(WORDS[random.nextInt(WORDS.length)]);
      text.append(random.nextInt(10_000)).append(' ');
    }
    text.setLength(bytes);
    text.setCharAt(bytes - 1, '.');
    return text.toString();
  }
}

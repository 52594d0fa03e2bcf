package org.shallothook.benchmarks.demo;

import java.util.Optional;

/**
 * What a caller saw of one chat.
 *
 * <p>Immutable and thread-safe.
 *
 * @param firstTokenNanos time to the first token in nanoseconds; 0 where there was none
 * @param refusal code of the refusal or error, if the answer is not complete
 */
record ChatResult(long firstTokenNanos, Optional<String> refusal) {
  static ChatResult complete(long firstTokenNanos) {
    return new ChatResult(firstTokenNanos, Optional.empty());
  }

  static ChatResult refused(String code) {
    return new ChatResult(0, Optional.of(code));
  }
}

package org.shallothook.coordination.quarantine;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;

/**
 * What a request has in common with other requests that may crash servers for the same reason.
 *
 * <p>Immutable and thread-safe.
 *
 * @param content hash of the whole content, equal when a request is repeated
 * @param parts hashes of the parts of the prompt that other requests may have
 */
public record RequestSignature(long content, List<Long> parts) {
  public RequestSignature {
    Objects.requireNonNull(parts, "parts");
    parts = List.copyOf(parts);
  }

  /**
   * Returns the form of a key in log lines, refusals and the store, by which they can be matched.
   */
  public static String textOf(long key) {
    return HexFormat.of().toHexDigits(key);
  }

  /** Returns the content and the parts, the parts first. */
  public List<Long> keys() {
    List<Long> keys = new ArrayList<>(parts);
    keys.add(content);
    return keys;
  }
}

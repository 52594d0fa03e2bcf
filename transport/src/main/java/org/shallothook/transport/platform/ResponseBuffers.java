package org.shallothook.transport.platform;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the sum of the response bodies that a client buffers at once. Above the maximum, the
 * responses that hold the most fail.
 *
 * <p>Invariant: after each call, the bodies that are buffered have at most the maximum size in all.
 * Confined to the client's event loop.
 */
final class ResponseBuffers {
  /** A response whose body is buffered. */
  interface Owner {
    /** Fails the response, which ends with {@link ResponseBuffers#remove}. */
    void failForMemory();
  }

  private final int maximumBytes;
  private final Map<Owner, Integer> sizes = new HashMap<>();
  private long totalBytes;

  /**
   * Creates the sum of no responses.
   *
   * @param maximumBytes maximum size of all bodies that are buffered
   */
  ResponseBuffers(int maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /**
   * Adds bytes that a response is about to buffer. Returns false if the response has failed instead
   * because it holds the most.
   */
  boolean add(Owner owner, int bytes) {
    sizes.merge(owner, bytes, Integer::sum);
    totalBytes += bytes;
    while (totalBytes > maximumBytes) {
      Owner largest = largest();
      remove(largest);
      largest.failForMemory();
    }
    return sizes.containsKey(owner);
  }

  /** Removes a response that has ended; does nothing if it is not buffered. */
  void remove(Owner owner) {
    Integer bytes = sizes.remove(owner);
    totalBytes -= bytes == null ? 0 : bytes;
  }

  private Owner largest() {
    return sizes.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
  }
}

package org.shallothook.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.util.Optional;

/**
 * The body of a caller's request, from its first byte until nothing refers to it any more.
 *
 * <p>Received bytes are copied into blocks, because a received buffer keeps all of its memory for
 * as long as a part of it is needed, however small that part is.
 *
 * <p>Invariant: the memory of all blocks, and of those still needed for a declared length, is
 * reserved in the budget until the body is deallocated. Confined to the event loop.
 */
final class RequestBody extends CompositeByteBuf {
  /** Size of the first block of a body whose length is not known. */
  private static final int SMALLEST_BLOCK_BYTES = 512;

  /** Size of a block of a large body; a small part of a chunk of the allocator's memory. */
  private static final int LARGEST_BLOCK_BYTES = 64 << 10;

  private final MemoryBudget budget;
  private final long declaredBytes;
  private long reservedBytes;

  private RequestBody(ByteBufAllocator allocator, MemoryBudget budget, long declaredBytes) {
    super(allocator, true, Integer.MAX_VALUE);
    this.budget = budget;
    this.declaredBytes = declaredBytes;
    this.reservedBytes = declaredBytes;
  }

  /**
   * Returns a body without any bytes so far; empty if the budget has no room for it.
   *
   * @param declaredBytes length that the caller has declared, 0 if it has declared none
   */
  static Optional<RequestBody> open(
      ByteBufAllocator allocator, MemoryBudget budget, long declaredBytes) {
    return budget.reserve(declaredBytes, declaredBytes)
        ? Optional.of(new RequestBody(allocator, budget, declaredBytes))
        : Optional.empty();
  }

  /** Copies a received part; returns false if the budget has no room for it. */
  boolean receive(ByteBuf part) {
    while (writableBytes() < part.readableBytes()) {
      int blockBytes = nextBlockBytes();
      long neededBytes = Math.max(0, (long) capacity() + blockBytes - reservedBytes);
      if (!budget.reserve(neededBytes, reservedBytes + neededBytes)) {
        return false;
      }
      reservedBytes += neededBytes;
      ByteBuf block = alloc().directBuffer(blockBytes, blockBytes);
      addComponent(false, block.writerIndex(blockBytes));
    }
    writeBytes(part);
    return true;
  }

  private int nextBlockBytes() {
    long undividedBytes = declaredBytes - capacity();
    return undividedBytes > 0
        ? (int) Math.min(undividedBytes, LARGEST_BLOCK_BYTES)
        : Math.max(SMALLEST_BLOCK_BYTES, Math.min(capacity(), LARGEST_BLOCK_BYTES));
  }

  @Override
  protected void deallocate() {
    super.deallocate();
    budget.release(reservedBytes);
  }
}

package org.shallothook.coordination.router;

import java.util.List;
import org.shallothook.coordination.placement.PrefixLevel;
import org.shallothook.state.cache.BlockKey;

/**
 * A prompt with what placement needs to know of it.
 *
 * <p>Immutable and thread-safe as long as nobody writes to the bytes.
 *
 * @param text rendered prompt
 * @param bytes the same in UTF-8
 * @param keys keys of its whole blocks
 * @param levels levels of sharing, deepest first
 * @param expectedBlocks leading blocks that earlier prompts have probably had in common with it
 * @param fingerprint recognises the prompt when its caller sends it again
 */
@SuppressWarnings("ArrayRecordComponent")
record RenderedPrompt(
    String text,
    byte[] bytes,
    List<BlockKey> keys,
    List<PrefixLevel> levels,
    int expectedBlocks,
    String fingerprint) {}

package org.shallothook.coordination.router;

import java.util.List;
import org.shallothook.coordination.placement.PrefixLevel;
import org.shallothook.coordination.quarantine.RequestSignature;
import org.shallothook.state.cache.BlockKey;

/**
 * A rendered prompt with the hashes that placement needs.
 *
 * <p>Immutable and thread-safe as long as nobody modifies {@code bytes}.
 *
 * @param text rendered prompt
 * @param bytes the text in UTF-8
 * @param keys keys of the prompt's whole blocks
 * @param levels levels at which the prompt shares prefixes with others, longest prefix first
 * @param expectedBlocks number of leading blocks that earlier prompts probably share with it
 * @param fingerprint digest of team and content, by which a repeated prompt is recognised
 * @param signature what the prompt has in common with others that may crash engines
 */
@SuppressWarnings("ArrayRecordComponent")
record RenderedPrompt(
    String text,
    byte[] bytes,
    List<BlockKey> keys,
    List<PrefixLevel> levels,
    int expectedBlocks,
    String fingerprint,
    RequestSignature signature) {}

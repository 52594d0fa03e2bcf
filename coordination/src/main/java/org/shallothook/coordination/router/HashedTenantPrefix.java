package org.shallothook.coordination.router;

import org.shallothook.coordination.quarantine.Fingerprint;
import org.shallothook.state.cache.BlockKeyPrefix;

/**
 * Hashes of the prefix that all prompts of a tenant share: the rulebook and the tenant's text.
 *
 * <p>Does not hold the text, which the template already holds. Immutable and thread-safe.
 *
 * @param keys keys of the prefix's whole blocks
 * @param fingerprint fingerprint state after hashing the prefix
 * @param bytes length of the prefix in UTF-8, in bytes
 * @param rulebookBlocks number of whole blocks in the rulebook
 */
record HashedTenantPrefix(
    BlockKeyPrefix keys, Fingerprint fingerprint, int bytes, int rulebookBlocks) {}

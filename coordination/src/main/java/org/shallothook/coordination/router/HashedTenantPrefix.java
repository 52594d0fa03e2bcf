package org.shallothook.coordination.router;

import org.shallothook.coordination.quarantine.Fingerprint;
import org.shallothook.state.cache.BlockKeyPrefix;

/**
 * What the prompts of a tenant have in common: rulebook and text of the tenant, hashed once.
 *
 * <p>Holds no text, since the template does. Immutable and thread-safe.
 *
 * @param keys keys of the whole blocks
 * @param fingerprint state of the fingerprint after the opening
 * @param bytes length in UTF-8
 * @param rulebookBlocks whole blocks of the rulebook alone
 */
record HashedTenantPrefix(
    BlockKeyPrefix keys, Fingerprint fingerprint, int bytes, int rulebookBlocks) {}

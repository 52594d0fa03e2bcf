package org.shallothook.standins.http;

import java.util.List;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;

/** Body of an export or import of blocks, as it is sent. Immutable and thread-safe. */
record TransferBody(
    String store, String team, String model, String version, String adapter, List<String> keys) {

  CacheIdentity identity() {
    if (store == null || team == null || model == null || version == null || keys == null) {
      throw new IllegalArgumentException("Give store, team, model, version and keys.");
    }
    return new CacheIdentity(
        team, new ModelVersion(model, version, adapter == null ? "" : adapter));
  }

  List<BlockKey> blockKeys() {
    return keys.stream().map(BlockKey::fromHex).toList();
  }
}

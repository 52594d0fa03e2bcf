package org.shallothook.standins.http;

import java.util.List;
import org.shallothook.standins.engine.EngineRequest;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;

/** Body of a request for an answer, as it is sent. Immutable and thread-safe. */
record CompletionBody(
    String requestId,
    String model,
    String version,
    String adapter,
    String team,
    String prompt,
    String deliveredText,
    int resumePosition,
    int maxTokens,
    int priority,
    List<String> blockKeys,
    int blockBytes) {

  EngineRequest toRequest() {
    if (requestId == null || prompt == null || model == null || version == null || team == null) {
      throw new IllegalArgumentException("Give request_id, model, version, team and prompt.");
    }
    ModelVersion modelVersion = new ModelVersion(model, version, adapter == null ? "" : adapter);
    List<BlockKey> keys =
        blockKeys == null ? List.of() : blockKeys.stream().map(BlockKey::fromHex).toList();
    return new EngineRequest(
        requestId,
        new CacheIdentity(team, modelVersion),
        priority,
        keys,
        prompt,
        resumePosition,
        maxTokens);
  }
}

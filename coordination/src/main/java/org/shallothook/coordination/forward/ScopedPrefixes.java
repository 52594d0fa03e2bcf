package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.state.route.PromptOutline;

/**
 * Prefixes of one prompt, scoped by the version of the weights of each server.
 *
 * <p>Invariant: servers share a scope only where their weights are of the same version. Not
 * thread-safe.
 */
final class ScopedPrefixes {
  private final PromptOutline prompt;
  private final String scope;
  private final Map<Long, List<PromptPrefix>> byVersion = new HashMap<>();

  /**
   * Creates the prefixes of a prompt.
   *
   * @param prompt prompt as described by its caller
   * @param scope scope in which cached parts may be shared, without the version of the weights
   */
  ScopedPrefixes(PromptOutline prompt, String scope) {
    this.prompt = prompt;
    this.scope = scope;
  }

  int promptTokens() {
    return prompt.promptTokens();
  }

  /** Returns the scope at a server, which is also sent to it as the cache salt. */
  String scopeAt(Server server) {
    return scope + "/" + versionOf(server);
  }

  /** Returns the prefixes in the scope of a server, the shortest first. */
  List<PromptPrefix> at(Server server) {
    return byVersion.computeIfAbsent(
        versionOf(server), version -> PromptPrefix.of(prompt, scope + "/" + version));
  }

  boolean isSameScope(Server one, Server other) {
    return versionOf(one) == versionOf(other);
  }

  private long versionOf(Server server) {
    return server.version(prompt.model()).orElse(0L);
  }
}

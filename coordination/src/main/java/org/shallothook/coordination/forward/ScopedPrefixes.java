package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.state.route.PromptOutline;

/**
 * The openings of one prompt at servers with different versions of the weights.
 *
 * <p>Invariant: servers share a scope only where their weights are of the same version. Not
 * thread-safe.
 */
final class ScopedPrefixes {
  private final PromptOutline prompt;
  private final String scope;
  private final Map<Long, List<PromptPrefix>> byVersion = new HashMap<>();

  /**
   * Creates the openings of a prompt.
   *
   * @param prompt prompt as its caller describes it
   * @param scope scope in which its parts may be shared, but for the version
   */
  ScopedPrefixes(PromptOutline prompt, String scope) {
    this.prompt = prompt;
    this.scope = scope;
  }

  int promptTokens() {
    return prompt.promptTokens();
  }

  /** Returns the scope at a server, which is also the salt of its cached parts. */
  String scopeAt(Server server) {
    return scope + "/" + versionOf(server);
  }

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

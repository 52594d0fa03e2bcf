package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.List;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.route.PromptOutline;
import org.shallothook.state.route.PromptOutline.Part;

/**
 * A prefix of a prompt, made up of its leading parts, within a sharing scope.
 *
 * <p>Immutable and thread-safe.
 *
 * @param hash hash of the scope and the identifiers of the parts
 * @param tokens total tokens of the parts
 */
record PromptPrefix(long hash, int tokens) {

  /**
   * Returns every prefix of a prompt, the shortest first; the last is the whole prompt.
   *
   * @param prompt prompt as described by its caller
   * @param scope scope in which cached parts of the prompt may be shared
   */
  static List<PromptPrefix> of(PromptOutline prompt, String scope) {
    List<PromptPrefix> prefixes = new ArrayList<>();
    long hash = RendezvousHash.hashOf(scope);
    int tokens = 0;
    for (Part part : prompt.parts()) {
      hash = RendezvousHash.combine(hash, RendezvousHash.hashOf(part.id()));
      tokens += part.tokens();
      prefixes.add(new PromptPrefix(hash, tokens));
    }
    return prefixes;
  }

  /** Returns the prefix that other prompts may share: all parts but the last, or the only part. */
  static PromptPrefix shared(List<PromptPrefix> prefixes) {
    return prefixes.get(Math.max(0, prefixes.size() - 2));
  }
}

package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.List;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.route.PromptOutline;
import org.shallothook.state.route.PromptOutline.Part;

/**
 * The leading parts of a prompt, within the scope in which they may be shared.
 *
 * <p>Immutable and thread-safe.
 *
 * @param hash hash of the scope and the parts
 * @param tokens tokens of the parts together
 */
record PromptPrefix(long hash, int tokens) {

  /**
   * Returns every opening of a prompt, the shortest first; the last is the whole prompt.
   *
   * @param prompt prompt as its caller describes it
   * @param scope scope in which its parts may be shared
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

  /** Returns the opening that other prompts share, or the whole prompt where it has one part. */
  static PromptPrefix shared(List<PromptPrefix> prefixes) {
    return prefixes.get(Math.max(0, prefixes.size() - 2));
  }
}

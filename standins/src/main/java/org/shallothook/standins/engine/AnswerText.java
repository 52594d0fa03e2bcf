package org.shallothook.standins.engine;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.shallothook.state.cache.ModelVersion;

/**
 * The answer that every engine gives to a prompt: each token depends on the model version, the
 * prompt and its position alone, so that a resumed stream can be checked against it.
 *
 * <p>A prompt may fix the length of its answer by ending in {@code answer-tokens:N}.
 *
 * <p>Immutable and thread-safe.
 */
public final class AnswerText {
  private static final Pattern LENGTH = Pattern.compile("answer-tokens:(\\d{1,6})");
  private static final int LENGTH_TAIL = 200;
  private static final int TEXT_MASK = 0xfff;

  private final long seed;
  private final int length;

  private AnswerText(long seed, int length) {
    this.seed = seed;
    this.length = length;
  }

  /** Returns the answer to a prompt. */
  public static AnswerText of(ModelVersion version, String prompt, EngineSettings settings) {
    long seed = mix(prompt.hashCode() * 31L + prompt.length() + ((long) version.hashCode() << 32));
    return new AnswerText(seed, lengthOf(prompt, seed, settings));
  }

  private static int lengthOf(String prompt, long seed, EngineSettings settings) {
    String tail = prompt.substring(Math.max(0, prompt.length() - LENGTH_TAIL));
    Matcher matcher = LENGTH.matcher(tail);
    int named = -1;
    while (matcher.find()) {
      named = Integer.parseInt(matcher.group(1));
    }
    if (named >= 0) {
      return named;
    }
    int range = settings.maximumAnswerTokens() - settings.minimumAnswerTokens() + 1;
    return settings.minimumAnswerTokens() + Math.floorMod(seed, range);
  }

  /** Returns the number of tokens of the whole answer. */
  public int length() {
    return length;
  }

  /** Returns the text of one token. */
  public String token(int position) {
    int value = (int) mix(seed + position) & TEXT_MASK;
    return " " + Integer.toHexString(value | (TEXT_MASK + 1)).substring(1);
  }

  /** Returns the text of the first tokens. */
  public String text(int tokens) {
    StringBuilder text = new StringBuilder();
    for (int position = 0; position < tokens; position++) {
      text.append(token(position));
    }
    return text.toString();
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}

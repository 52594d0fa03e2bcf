package org.shallothook.standins.engine;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.shallothook.state.cache.ModelVersion;

/**
 * Deterministic text that every engine generates for a prompt. Each token depends only on the model
 * version, the prompt and the token's position, so that tests can compare a resumed stream with the
 * whole answer.
 *
 * <p>A prompt that ends in {@code answer-tokens:N} sets the length of its answer to {@code N}
 * tokens.
 *
 * <p>Immutable and thread-safe.
 */
public final class AnswerText {
  private static final Pattern LENGTH_MARKER = Pattern.compile("answer-tokens:(\\d{1,6})");
  private static final int LENGTH_MARKER_SEARCH_CHARACTERS = 200;
  private static final int TEXT_MASK = 0xfff;

  private final long seed;
  private final int length;

  private AnswerText(long seed, int length) {
    this.seed = seed;
    this.length = length;
  }

  /** Returns the answer of a model version to a prompt. */
  public static AnswerText of(ModelVersion version, String prompt, EngineSettings settings) {
    long seed = mix(prompt.hashCode() * 31L + prompt.length() + ((long) version.hashCode() << 32));
    return new AnswerText(seed, answerLength(prompt, seed, settings));
  }

  private static int answerLength(String prompt, long seed, EngineSettings settings) {
    String promptEnd =
        prompt.substring(Math.max(0, prompt.length() - LENGTH_MARKER_SEARCH_CHARACTERS));
    Matcher matcher = LENGTH_MARKER.matcher(promptEnd);
    int requestedLength = -1;
    while (matcher.find()) {
      requestedLength = Integer.parseInt(matcher.group(1));
    }
    if (requestedLength >= 0) {
      return requestedLength;
    }
    int range = settings.maximumAnswerTokens() - settings.minimumAnswerTokens() + 1;
    return settings.minimumAnswerTokens() + Math.floorMod(seed, range);
  }

  /** Returns the length of the whole answer in tokens. */
  public int length() {
    return length;
  }

  /** Returns the text of the token at a position, counted from 0. */
  public String token(int position) {
    int value = (int) mix(seed + position) & TEXT_MASK;
    return " " + Integer.toHexString(value | (TEXT_MASK + 1)).substring(1);
  }

  /** Returns the text of that many leading tokens. */
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

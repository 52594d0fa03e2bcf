package org.shallothook.benchmarks.virtual;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import org.shallothook.state.request.RequestId;

/** What the caller of one chat has received so far. Not thread-safe. */
public final class ChatRecord extends CallerRecord {
  private final ChatCall call;
  private final StringBuilder text = new StringBuilder();
  private final List<Long> gapsMicros = new ArrayList<>();
  private long firstTokenMicros;
  private long lastTokenMicros;
  private int tokens;
  private int misplaced;
  private int announcedTokens = -1;
  private String finishReason = "";
  private int cachedTokens;

  ChatRecord(
      RequestId request, String router, long routerIncarnation, long sentMicros, ChatCall call) {
    super(request, router, routerIncarnation, sentMicros);
    this.call = call;
  }

  /** Returns what was asked. */
  public ChatCall call() {
    return call;
  }

  /** Returns the text received. */
  public String text() {
    return text.toString();
  }

  /** Returns the number of tokens received. */
  public int tokens() {
    return tokens;
  }

  /** Returns how often tokens came at another position than the next. */
  public int misplaced() {
    return misplaced;
  }

  /** Returns the length that the end of the answer announced; -1 before. */
  public int announcedTokens() {
    return announcedTokens;
  }

  /** Returns the finish reason, empty before the end. */
  public String finishReason() {
    return finishReason;
  }

  /** Returns the cached prompt tokens that the end of the answer announced. */
  public int cachedTokens() {
    return cachedTokens;
  }

  /** Returns the time from the request to its first token, if one came, in microseconds. */
  public OptionalLong timeToFirstTokenMicros() {
    return tokens == 0 ? OptionalLong.empty() : OptionalLong.of(firstTokenMicros - sentMicros());
  }

  /** Returns the times between tokens, in microseconds. */
  public List<Long> gapsMicros() {
    return Collections.unmodifiableList(gapsMicros);
  }

  void receive(int position, int count, String part, long nowMicros) {
    if (!isOpen()) {
      return;
    }
    if (position != tokens) {
      misplaced++;
    }
    if (tokens == 0) {
      firstTokenMicros = nowMicros;
    } else {
      gapsMicros.add(nowMicros - lastTokenMicros);
    }
    lastTokenMicros = nowMicros;
    tokens += count;
    text.append(part);
  }

  void complete(int totalTokens, String reason, int cached, long nowMicros) {
    announcedTokens = totalTokens;
    finishReason = reason;
    cachedTokens = cached;
    end(State.COMPLETE, nowMicros);
  }
}

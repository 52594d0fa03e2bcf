package org.shallothook.standins.engine;

/**
 * One stream inside an engine.
 *
 * <p>Invariant: the position never falls. Not thread-safe.
 */
final class Generation {
  final EngineRequest request;
  final long order;
  final AnswerText answer;
  final int end;
  int position;
  int cachedBlocks;
  boolean isPaused;

  Generation(EngineRequest request, long order, EngineSettings settings) {
    this.request = request;
    this.order = order;
    this.answer = AnswerText.of(request.identity().modelVersion(), request.prompt(), settings);
    this.end = Math.min(answer.length(), request.maximumTokens());
    this.position = request.resumePosition();
  }

  boolean isComplete() {
    return position >= end;
  }

  String finishReason() {
    return end < answer.length() ? "length" : "stop";
  }

  boolean goesBefore(Generation other) {
    if (request.priority() != other.request.priority()) {
      return request.priority() < other.request.priority();
    }
    return order < other.order;
  }
}

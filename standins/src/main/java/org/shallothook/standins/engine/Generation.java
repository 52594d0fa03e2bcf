package org.shallothook.standins.engine;

/**
 * State of one queued or running stream in an engine.
 *
 * <p>Invariant: the position never decreases. Not thread-safe.
 */
final class Generation {
  final EngineRequest request;
  final long arrivalSequence;
  final AnswerText answer;
  final int endPosition;
  int position;
  int cachedBlocks;
  boolean isPaused;

  Generation(EngineRequest request, long arrivalSequence, EngineSettings settings) {
    this.request = request;
    this.arrivalSequence = arrivalSequence;
    this.answer = AnswerText.of(request.identity().modelVersion(), request.prompt(), settings);
    this.endPosition = Math.min(answer.length(), request.maximumTokens());
    this.position = request.resumePosition();
  }

  boolean isComplete() {
    return position >= endPosition;
  }

  String finishReason() {
    return endPosition < answer.length() ? "length" : "stop";
  }

  boolean precedes(Generation other) {
    if (request.priority() != other.request.priority()) {
      return request.priority() < other.request.priority();
    }
    return arrivalSequence < other.arrivalSequence;
  }
}

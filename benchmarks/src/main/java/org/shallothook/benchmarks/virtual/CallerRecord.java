package org.shallothook.benchmarks.virtual;

import java.util.Optional;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/** What one caller has received so far. Not thread-safe. */
public abstract class CallerRecord {

  /** How a request stands, as its caller sees it. Immutable and thread-safe. */
  public enum State {
    OPEN,
    COMPLETE,
    REFUSED,
    /** The connection to the router was lost. */
    LOST,
    /** The caller has left. */
    LEFT
  }

  private final RequestId request;
  private final String router;
  private final long routerIncarnation;
  private final long sentMicros;
  private State state = State.OPEN;
  private long endMicros;
  private Optional<Refusal> refusal = Optional.empty();

  CallerRecord(RequestId request, String router, long routerIncarnation, long sentMicros) {
    this.request = request;
    this.router = router;
    this.routerIncarnation = routerIncarnation;
    this.sentMicros = sentMicros;
  }

  /** Returns the identifier of the request. */
  public final RequestId request() {
    return request;
  }

  /** Returns the router that was asked. */
  public final String router() {
    return router;
  }

  /** Returns the incarnation of that router when the request was sent. */
  public final long routerIncarnation() {
    return routerIncarnation;
  }

  /** Returns when the request was sent. */
  public final long sentMicros() {
    return sentMicros;
  }

  /** Returns how the request stands. */
  public final State state() {
    return state;
  }

  /** Returns when the request ended for the caller; 0 while it is open. */
  public final long endMicros() {
    return endMicros;
  }

  /** Returns the final negative answer, if there was one. */
  public final Optional<Refusal> refusal() {
    return refusal;
  }

  final boolean isOpen() {
    return state == State.OPEN;
  }

  final void end(State endState, long nowMicros) {
    if (isOpen()) {
      state = endState;
      endMicros = nowMicros;
    }
  }

  final void refuse(Refusal finalRefusal, long nowMicros) {
    if (isOpen()) {
      refusal = Optional.of(finalRefusal);
      end(State.REFUSED, nowMicros);
    }
  }
}

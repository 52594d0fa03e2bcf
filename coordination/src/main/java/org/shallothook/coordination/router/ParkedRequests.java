package org.shallothook.coordination.router;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.shallothook.state.request.RequestId;

/**
 * Requests that wait until the router has caught up with the configuration log.
 *
 * <p>Invariant: holds at most {@link #CAPACITY} requests, each until its deadline. Not thread-safe.
 */
final class ParkedRequests {
  static final int CAPACITY = 1_024;
  private static final long WAIT_MICROS = 1_000_000;

  private final Deque<Parked> parked = new ArrayDeque<>();

  /** Adds a request. Returns false if the capacity is exhausted. */
  boolean add(RouterEvent event, long nowMicros) {
    return parked.size() < CAPACITY && parked.add(new Parked(event, nowMicros + WAIT_MICROS));
  }

  /** Removes and returns the oldest request. */
  Optional<RouterEvent> poll() {
    return Optional.ofNullable(parked.poll()).map(Parked::event);
  }

  /** Removes and returns the oldest request if its deadline has passed. */
  Optional<RouterEvent> pollExpired(long nowMicros) {
    Parked first = parked.peek();
    return first == null || first.untilMicros() > nowMicros ? Optional.empty() : poll();
  }

  /** Removes the request of a caller that has disconnected. Returns whether it was parked. */
  boolean remove(RequestId request) {
    return parked.removeIf(entry -> requestOf(entry.event()).filter(request::equals).isPresent());
  }

  boolean isEmpty() {
    return parked.isEmpty();
  }

  /** Returns the identifier of the request that an event starts, if it starts one. */
  static Optional<RequestId> requestOf(RouterEvent event) {
    if (event instanceof RouterEvent.ChatRequested chat) {
      return Optional.of(chat.request());
    }
    if (event instanceof RouterEvent.CallRequested call) {
      return Optional.of(call.request());
    }
    if (event instanceof RouterEvent.MalformedRequested unreadable) {
      return Optional.of(unreadable.request());
    }
    return event instanceof RouterEvent.ModelsRequested models
        ? Optional.of(models.request())
        : Optional.empty();
  }

  private record Parked(RouterEvent event, long untilMicros) {}
}

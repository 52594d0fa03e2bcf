package org.shallothook.transport.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.decision.EventSink;
import org.shallothook.transport.metrics.TransportMetrics;

/**
 * What all connections of callers share.
 *
 * <p>Invariant: a request is open from the moment that it was offered until its answer has ended or
 * its caller is gone. Thread-safe.
 */
final class CallerContext {
  private final CallerSettings settings;
  private final Supplier<RequestId> requestIds;
  private final EventSink<RouterEvent> events;
  private final TransportMetrics metrics;
  private final LongSupplier clockMicros;
  private final Map<RequestId, CallerExchange> open = new ConcurrentHashMap<>();
  private final AtomicLong gatheredBytes = new AtomicLong();
  private final AtomicInteger connections = new AtomicInteger();
  private volatile boolean isClosing;

  CallerContext(
      CallerSettings settings,
      Supplier<RequestId> requestIds,
      EventSink<RouterEvent> events,
      TransportMetrics metrics,
      LongSupplier clockMicros) {
    this.settings = settings;
    this.requestIds = requestIds;
    this.events = events;
    this.metrics = metrics;
    this.clockMicros = clockMicros;
  }

  CallerSettings settings() {
    return settings;
  }

  RequestId nextRequestId() {
    return requestIds.get();
  }

  EventSink<RouterEvent> events() {
    return events;
  }

  TransportMetrics metrics() {
    return metrics;
  }

  long nowMicros() {
    return clockMicros.getAsLong();
  }

  Map<RequestId, CallerExchange> open() {
    return open;
  }

  AtomicInteger connections() {
    return connections;
  }

  /** Reserves memory for a part of a body. Returns whether there was room. */
  boolean reserve(int bytes) {
    if (gatheredBytes.addAndGet(bytes) > settings.maximumGatheredBytes()) {
      gatheredBytes.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  /** Gives back memory that was reserved. */
  void release(int bytes) {
    gatheredBytes.addAndGet(-bytes);
  }

  /** Returns whether connections end with their current answer. */
  boolean isClosing() {
    return isClosing;
  }

  void startClosing() {
    isClosing = true;
  }
}

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
 * State shared by all caller connections.
 *
 * <p>Invariant: an exchange is open from the moment its request is offered to the decision thread
 * until its response has ended or its caller has disconnected. Thread-safe.
 */
final class CallerContext {
  private final CallerSettings settings;
  private final Supplier<RequestId> requestIds;
  private final EventSink<RouterEvent> events;
  private final TransportMetrics metrics;
  private final LongSupplier clockMicros;
  private final Map<RequestId, CallerExchange> openExchanges = new ConcurrentHashMap<>();
  private final AtomicLong bufferedBytes = new AtomicLong();
  private final AtomicInteger openConnections = new AtomicInteger();
  private volatile boolean isClosing;
  private volatile boolean isDrained;

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

  Map<RequestId, CallerExchange> openExchanges() {
    return openExchanges;
  }

  AtomicInteger openConnections() {
    return openConnections;
  }

  /** Reserves memory for a part of a body. Returns whether the limit allows it. */
  boolean reserve(int bytes) {
    if (bufferedBytes.addAndGet(bytes) > settings.maximumBufferedBodyBytes()) {
      bufferedBytes.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  /** Releases reserved memory. */
  void release(int bytes) {
    bufferedBytes.addAndGet(-bytes);
  }

  /** Returns whether connections without a request are to be closed. */
  boolean isDrained() {
    return isDrained;
  }

  void onDrained() {
    isDrained = true;
  }

  /** Returns whether each connection is to be closed after its current response. */
  boolean isClosing() {
    return isClosing;
  }

  void startClosing() {
    isClosing = true;
  }
}

package org.shallothook.transport.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.route.CallerLimits;
import org.shallothook.transport.decision.EventSink;

/**
 * What all connections of callers share.
 *
 * <p>Invariant: an open exchange is found under its number. Used on the loop alone, but for what
 * the sink and the counters allow.
 */
final class ForwardContext {
  private final RequestForm form;
  private final ServerLinks servers;
  private final EventSink<CoreEvent> events;
  private final Counters counters;
  private final LongSupplier clockMicros;
  private final Map<Long, InboundExchange> open = new HashMap<>();
  private CallerLimits limits = CallerLimits.DEFAULT;
  private boolean isDraining;
  private boolean isLate;
  private long latestNumber;

  ForwardContext(
      RequestForm form,
      ServerLinks servers,
      EventSink<CoreEvent> events,
      Counters counters,
      LongSupplier clockMicros) {
    this.form = form;
    this.servers = servers;
    this.events = events;
    this.counters = counters;
    this.clockMicros = clockMicros;
  }

  RequestForm form() {
    return form;
  }

  ServerLinks servers() {
    return servers;
  }

  EventSink<CoreEvent> events() {
    return events;
  }

  Counters counters() {
    return counters;
  }

  long nowMicros() {
    return clockMicros.getAsLong();
  }

  CallerLimits limits() {
    return limits;
  }

  void limit(CallerLimits newLimits) {
    limits = newLimits;
  }

  boolean isDraining() {
    return isDraining;
  }

  void drain() {
    isDraining = true;
  }

  boolean isLate() {
    return isLate;
  }

  void onLate() {
    isLate = true;
  }

  long nextNumber() {
    return ++latestNumber;
  }

  void opened(InboundExchange exchange) {
    open.put(exchange.number(), exchange);
  }

  void ended(InboundExchange exchange) {
    open.remove(exchange.number());
  }

  Optional<InboundExchange> find(long number) {
    return Optional.ofNullable(open.get(number));
  }

  List<InboundExchange> all() {
    return List.copyOf(open.values());
  }

  int openExchanges() {
    return open.size();
  }
}

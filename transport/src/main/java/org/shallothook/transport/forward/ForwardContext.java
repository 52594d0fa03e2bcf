package org.shallothook.transport.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.route.CallerLimits;
import org.shallothook.transport.decision.EventSink;

/**
 * State shared by all caller connections.
 *
 * <p>Invariant: {@link #find} returns every open exchange by its number. Confined to the event
 * loop, except for the event sink, the counters and the journal, which have their own thread
 * safety.
 */
final class ForwardContext {
  private final HeaderTranslation form;
  private final ServerConnectionPool servers;
  private final MemoryBudget budget;
  private final EventSink<CoreEvent> events;
  private final Counters counters;
  private final DecisionJournal journal;
  private final LongSupplier clockMicros;
  private final Map<Long, InboundExchange> openExchanges = new HashMap<>();
  private CallerLimits limits = CallerLimits.DEFAULT;
  private boolean isDraining;
  private boolean hasDrainPeriodEnded;
  private long lastNumber;

  ForwardContext(
      HeaderTranslation form,
      ServerConnectionPool servers,
      MemoryBudget budget,
      EventSink<CoreEvent> events,
      Counters counters,
      DecisionJournal journal,
      LongSupplier clockMicros) {
    this.form = form;
    this.servers = servers;
    this.budget = budget;
    this.events = events;
    this.counters = counters;
    this.journal = journal;
    this.clockMicros = clockMicros;
  }

  HeaderTranslation form() {
    return form;
  }

  ServerConnectionPool servers() {
    return servers;
  }

  MemoryBudget budget() {
    return budget;
  }

  EventSink<CoreEvent> events() {
    return events;
  }

  Counters counters() {
    return counters;
  }

  DecisionJournal journal() {
    return journal;
  }

  long nowMicros() {
    return clockMicros.getAsLong();
  }

  CallerLimits limits() {
    return limits;
  }

  void setLimits(CallerLimits newLimits) {
    limits = newLimits;
  }

  boolean isDraining() {
    return isDraining;
  }

  void drain() {
    isDraining = true;
  }

  boolean hasDrainPeriodEnded() {
    return hasDrainPeriodEnded;
  }

  void onDrainPeriodEnded() {
    hasDrainPeriodEnded = true;
  }

  long nextNumber() {
    return ++lastNumber;
  }

  void add(InboundExchange exchange) {
    openExchanges.put(exchange.number(), exchange);
  }

  void remove(InboundExchange exchange) {
    openExchanges.remove(exchange.number());
  }

  Optional<InboundExchange> find(long number) {
    return Optional.ofNullable(openExchanges.get(number));
  }

  List<InboundExchange> openExchangeList() {
    return List.copyOf(openExchanges.values());
  }

  int openExchangeCount() {
    return openExchanges.size();
  }
}

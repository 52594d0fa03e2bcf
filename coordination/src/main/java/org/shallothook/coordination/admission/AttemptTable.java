package org.shallothook.coordination.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.request.AttemptId;

/**
 * All open attempts at this sidecar by stage.
 *
 * <p>Invariant: an attempt is in the table from its reservation to its end, in the queue of its
 * class exactly while it is queued, and among the running ones exactly while it runs. Not
 * thread-safe: used on the decision thread.
 */
final class AttemptTable {
  private final Map<AttemptId, AdmittedAttempt> byAttempt = new LinkedHashMap<>();
  private final Map<AttemptId, AdmittedAttempt> running = new LinkedHashMap<>();
  private final Map<PriorityClass, FairQueue> queues = new EnumMap<>(PriorityClass.class);
  private final Map<PriorityClass, Integer> reserved = new EnumMap<>(PriorityClass.class);

  AttemptTable() {
    for (PriorityClass priority : PriorityClass.values()) {
      queues.put(priority, new FairQueue());
      reserved.put(priority, 0);
    }
  }

  boolean isEmpty() {
    return byAttempt.isEmpty();
  }

  int size() {
    return byAttempt.size();
  }

  Optional<AdmittedAttempt> find(AttemptId attempt) {
    return Optional.ofNullable(byAttempt.get(attempt));
  }

  Optional<AdmittedAttempt> findRun(AttemptId run) {
    return Optional.ofNullable(running.get(run));
  }

  /** Returns the attempts that satisfy the condition, oldest first. */
  List<AdmittedAttempt> matching(Predicate<AdmittedAttempt> condition) {
    List<AdmittedAttempt> found = new ArrayList<>();
    for (AdmittedAttempt ticket : byAttempt.values()) {
      if (condition.test(ticket)) {
        found.add(ticket);
      }
    }
    return found;
  }

  /** Returns the running attempts in order of their start. */
  Collection<AdmittedAttempt> running() {
    return running.values();
  }

  int runningOf(PriorityClass priority) {
    int count = 0;
    for (AdmittedAttempt ticket : running.values()) {
      count += ticket.priority() == priority ? 1 : 0;
    }
    return count;
  }

  FairQueue queue(PriorityClass priority) {
    return queues.get(priority);
  }

  int reservedOf(PriorityClass priority) {
    return reserved.get(priority);
  }

  /** Returns the attempts of a class that have a place and do not run. */
  int waitingOf(PriorityClass priority) {
    return queue(priority).size() + reservedOf(priority);
  }

  void reserve(AdmittedAttempt ticket) {
    byAttempt.put(ticket.attempt(), ticket);
    reserved.merge(ticket.priority(), 1, Integer::sum);
  }

  void enqueue(AdmittedAttempt ticket, PeerMessage.Submit submit) {
    reserved.merge(ticket.priority(), -1, Integer::sum);
    ticket.submit(submit);
    queue(ticket.priority()).add(ticket);
  }

  void start(AdmittedAttempt ticket, double cost, int units, int unitsAhead, long nowMicros) {
    queue(ticket.priority()).take(ticket, cost);
    ticket.start(units, unitsAhead, nowMicros);
    running.put(ticket.run(), ticket);
  }

  void preempt(AdmittedAttempt ticket) {
    running.remove(ticket.run());
    ticket.preempt();
    queue(ticket.priority()).addPaid(ticket);
  }

  void returnUntaken(AdmittedAttempt ticket) {
    running.remove(ticket.run());
    ticket.returnUntaken();
    queue(ticket.priority()).addPaid(ticket);
  }

  void remove(AdmittedAttempt ticket) {
    byAttempt.remove(ticket.attempt());
    switch (ticket.stage()) {
      case RESERVED -> reserved.merge(ticket.priority(), -1, Integer::sum);
      case QUEUED -> queue(ticket.priority()).remove(ticket);
      case RUNNING -> running.remove(ticket.run());
      case OVER -> {}
    }
    ticket.finish();
  }
}

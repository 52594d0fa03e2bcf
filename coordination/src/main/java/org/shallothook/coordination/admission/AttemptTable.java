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
 * All open attempts at this sidecar, grouped by stage.
 *
 * <p>Invariant: an attempt is in the table from its reservation to its end, in the queue of its
 * priority class exactly while it is queued, and among the running attempts exactly while it runs.
 * Not thread-safe: used on the decision thread.
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

  /** Returns the attempts that satisfy the condition, in order of reservation. */
  List<AdmittedAttempt> matching(Predicate<AdmittedAttempt> condition) {
    List<AdmittedAttempt> found = new ArrayList<>();
    for (AdmittedAttempt attempt : byAttempt.values()) {
      if (condition.test(attempt)) {
        found.add(attempt);
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
    for (AdmittedAttempt attempt : running.values()) {
      count += attempt.priority() == priority ? 1 : 0;
    }
    return count;
  }

  FairQueue queue(PriorityClass priority) {
    return queues.get(priority);
  }

  int reservedOf(PriorityClass priority) {
    return reserved.get(priority);
  }

  /** Returns the number of reserved and queued attempts of a priority class. */
  int waitingOf(PriorityClass priority) {
    return queue(priority).size() + reservedOf(priority);
  }

  void reserve(AdmittedAttempt attempt) {
    byAttempt.put(attempt.attempt(), attempt);
    reserved.merge(attempt.priority(), 1, Integer::sum);
  }

  void enqueue(AdmittedAttempt attempt, PeerMessage.Submit submit) {
    reserved.merge(attempt.priority(), -1, Integer::sum);
    attempt.submit(submit);
    queue(attempt.priority()).add(attempt);
  }

  void start(AdmittedAttempt attempt, double cost, int units, int unitsAhead, long nowMicros) {
    queue(attempt.priority()).dequeue(attempt, cost);
    attempt.start(units, unitsAhead, nowMicros);
    running.put(attempt.run(), attempt);
  }

  void preempt(AdmittedAttempt attempt) {
    running.remove(attempt.run());
    attempt.preempt();
    queue(attempt.priority()).addCharged(attempt);
  }

  void requeueRefused(AdmittedAttempt attempt) {
    running.remove(attempt.run());
    attempt.requeueRefused();
    queue(attempt.priority()).addCharged(attempt);
  }

  void remove(AdmittedAttempt attempt) {
    byAttempt.remove(attempt.attempt());
    switch (attempt.stage()) {
      case RESERVED -> reserved.merge(attempt.priority(), -1, Integer::sum);
      case QUEUED -> queue(attempt.priority()).remove(attempt);
      case RUNNING -> running.remove(attempt.run());
      case OVER -> {}
    }
    attempt.finish();
  }
}

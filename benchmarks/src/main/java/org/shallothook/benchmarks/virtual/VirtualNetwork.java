package org.shallothook.benchmarks.virtual;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.shallothook.coordination.message.Envelope;

/**
 * Connections between processes: messages keep their order, ends see the other's loss.
 *
 * <p>Invariant: between two processes messages arrive in the order of sending, or not at all. Not
 * thread-safe.
 */
public final class VirtualNetwork {
  private static final long CUT_DETECTION_MICROS = 1_000_000;

  private final EventQueue queue;
  private final Latencies latencies;
  private final SplittableRandom random;
  private final Map<String, VirtualProcess> processes = new LinkedHashMap<>();
  private final Map<Link, Long> lastArrivals = new HashMap<>();
  private final Set<Link> connections = new HashSet<>();
  private final Set<Link> cuts = new HashSet<>();
  private long messages;

  VirtualNetwork(EventQueue queue, Latencies latencies, SplittableRandom random) {
    this.queue = queue;
    this.latencies = latencies;
    this.random = random;
  }

  void add(VirtualProcess process) {
    processes.put(process.name(), process);
  }

  /** Returns the number of messages sent. */
  public long messages() {
    return messages;
  }

  void send(VirtualProcess sender, String receiverName, Envelope envelope) {
    messages++;
    VirtualProcess receiver = processes.get(receiverName);
    if (receiver == null || !receiver.isUp() || isCutForNew(sender, receiver)) {
      long roundTrip = 2 * latency(sender.failureDomain(), domainOf(receiver));
      sender.after(roundTrip, () -> sender.onPeerDown(receiverName, false));
      return;
    }
    connect(sender.name(), receiverName);
    Link link = new Link(sender.name(), receiverName);
    long arrival = queue.nowMicros() + latency(sender.failureDomain(), receiver.failureDomain());
    arrival = Math.max(arrival, lastArrivals.getOrDefault(link, 0L) + 1);
    lastArrivals.put(link, arrival);
    receiver.at(
        arrival,
        () -> {
          if (!isCut(sender, receiver)) {
            receiver.onMessage(envelope);
          }
        });
  }

  private static String domainOf(VirtualProcess process) {
    return process == null ? "" : process.failureDomain();
  }

  private boolean isCutForNew(VirtualProcess sender, VirtualProcess receiver) {
    return isCut(sender, receiver)
        && !connections.contains(new Link(sender.name(), receiver.name()));
  }

  private boolean isCut(VirtualProcess sender, VirtualProcess receiver) {
    return cuts.contains(new Link(sender.failureDomain(), receiver.failureDomain()));
  }

  private void connect(String first, String second) {
    connections.add(new Link(first, second));
    connections.add(new Link(second, first));
  }

  private void disconnect(String first, String second) {
    connections.remove(new Link(first, second));
    connections.remove(new Link(second, first));
  }

  /** Tells every process that was connected with a stopped one. */
  void processStopped(VirtualProcess stopped) {
    for (VirtualProcess other : List.copyOf(processes.values())) {
      if (connections.contains(new Link(other.name(), stopped.name()))) {
        disconnect(other.name(), stopped.name());
        long delay = latency(other.failureDomain(), stopped.failureDomain());
        other.after(delay, () -> other.onPeerDown(stopped.name(), true));
      }
    }
  }

  /** Loses everything between two failure domains; both ends notice after a while. */
  void cut(String firstDomain, String secondDomain) {
    cuts.add(new Link(firstDomain, secondDomain));
    cuts.add(new Link(secondDomain, firstDomain));
    queue.after(CUT_DETECTION_MICROS, () -> loseConnections(firstDomain, secondDomain));
  }

  /** Ends a cut. */
  void heal(String firstDomain, String secondDomain) {
    cuts.remove(new Link(firstDomain, secondDomain));
    cuts.remove(new Link(secondDomain, firstDomain));
  }

  private void loseConnections(String firstDomain, String secondDomain) {
    if (!cuts.contains(new Link(firstDomain, secondDomain))) {
      return;
    }
    for (String first : namesIn(firstDomain)) {
      for (String second : namesIn(secondDomain)) {
        if (connections.contains(new Link(first, second))) {
          disconnect(first, second);
          processes.get(first).after(0, () -> processes.get(first).onPeerDown(second, true));
          processes.get(second).after(0, () -> processes.get(second).onPeerDown(first, true));
        }
      }
    }
  }

  private Set<String> namesIn(String failureDomain) {
    Set<String> names = new TreeSet<>();
    processes.values().stream()
        .filter(process -> process.failureDomain().equals(failureDomain))
        .forEach(process -> names.add(process.name()));
    return names;
  }

  private long latency(String first, String second) {
    return jittered(first.equals(second) ? latencies.withinDomain() : latencies.betweenDomains());
  }

  /** Returns a latency with its seeded addition. */
  long jittered(long micros) {
    return micros + (long) (micros * latencies.jitterShare() * random.nextDouble());
  }

  /** Returns the latencies. */
  Latencies latencies() {
    return latencies;
  }

  private record Link(String from, String to) {}
}

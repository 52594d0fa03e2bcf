package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.shallothook.coordination.message.PeerMessage.UpstreamSpeed;
import org.shallothook.coordination.port.Counters;

/**
 * Estimates how fast each server is compared with the other servers of its service, from the times
 * to first output of prompts that hardly waited.
 *
 * <p>Each router sees a server too seldom to follow its speed. Routers therefore send each other
 * the sums of their new samples, and each adds those of the others to its own. Without messages, a
 * router uses its own samples alone.
 *
 * <p>A sample is the measured time divided by the time that the {@link FirstOutputModel} of the
 * service expects. Samples count less with age. Their weighted mean is combined with a few samples
 * of the mean of the service, so that a server which is rarely seen counts as average. As only the
 * ratio to that mean is used, servers of equal speed have a factor of 1, however fast they are.
 *
 * <p>Invariants: a factor stays within {@link #MIN_RATIO} and {@link #MAX_RATIO}; samples are kept
 * only for known servers and their present incarnation. Not thread-safe.
 */
final class ServerSpeeds {
  /** Lower limit of a sample and of a factor. */
  static final double MIN_RATIO = 0.25;

  /** Upper limit of a sample and of a factor. */
  static final double MAX_RATIO = 6;

  /** Maximum share of the expected wait in the expected time to first output of a sample. */
  private static final double MAX_WAIT_SHARE = 0.25;

  /** Time in which the weight of a sample falls to 1/e, in microseconds. */
  private static final double DECAY_MICROS = 5_000_000;

  /** Number of samples for which the mean of the service counts in the estimate of a server. */
  private static final double PRIOR_WEIGHT = 4;

  /** Share of their weight that samples keep when their server restarts. */
  private static final double RESTART_WEIGHT_SHARE = 0.25;

  /** Upper limit of the weight that one message adds to a server, so that none outweighs all. */
  private static final double MAX_ANNOUNCED_WEIGHT = 100;

  /** Time between two computations of the factors, in microseconds. */
  private static final long UPDATE_INTERVAL_MICROS = 100_000;

  /** Minimum time between two announcements, in microseconds. */
  static final long ANNOUNCE_INTERVAL_MICROS = 1_000_000;

  /** Minimum time between two announcements per router of the fleet, in microseconds. */
  static final long ANNOUNCE_INTERVAL_PER_ROUTER_MICROS = 15_000;

  /** Change of a factor since the last log line about it, as a quotient, that is logged. */
  private static final double LOGGED_CHANGE = 1.25;

  private final boolean isLearning;
  private final Consumer<ForwardCommand> commands;
  private final ForwardJournal journal;
  private final Counters counters;
  private final Map<String, Estimate> estimates = new HashMap<>();
  private final Map<String, FirstOutputModel> models = new HashMap<>();
  private long nextUpdateMicros;
  private long nextAnnounceMicros;

  /**
   * Creates an object that knows no samples.
   *
   * @param isLearning whether speeds are learned; otherwise all factors are 1
   */
  ServerSpeeds(
      boolean isLearning,
      Consumer<ForwardCommand> commands,
      ForwardJournal journal,
      Counters counters) {
    this.isLearning = isLearning;
    this.commands = commands;
    this.journal = journal;
    this.counters = counters;
  }

  /**
   * A prompt whose first output has arrived.
   *
   * @param promptTokens tokens of the prompt
   * @param prefillTokens tokens that the server was expected to prefill
   * @param waitMicros expected time until the prefill started
   * @param durationMicros measured time from sending to the first output
   */
  record FirstOutput(
      int promptTokens, int prefillTokens, double waitMicros, double durationMicros) {}

  /** Samples of one server; sums of weights are as of {@code summedMicros}. */
  private static final class Estimate {
    private String incarnation;
    private double weight;
    private double weightedRatio;
    private long summedMicros;
    private long newestMicros;
    private double newWeight;
    private double newWeightedRatio;
    private double factor = 1;
    private double loggedFactor = 1;

    Estimate(String incarnation) {
      this.incarnation = incarnation;
    }

    void add(double sampleWeight, double ratio, long nowMicros) {
      decay(nowMicros);
      weight += sampleWeight;
      weightedRatio += sampleWeight * ratio;
      newestMicros = nowMicros;
    }

    void decay(long nowMicros) {
      scale(Math.exp((summedMicros - nowMicros) / DECAY_MICROS));
      summedMicros = nowMicros;
    }

    void onIncarnation(String present) {
      if (!incarnation.equals(present)) {
        incarnation = present;
        scale(RESTART_WEIGHT_SHARE);
        newWeight = 0;
        newWeightedRatio = 0;
      }
    }

    private void scale(double share) {
      weight *= share;
      weightedRatio *= share;
    }
  }

  /** Returns the time that a server takes for a prefill, divided by the mean of its service. */
  double factor(Server server) {
    Estimate estimate = estimates.get(server.name());
    return estimate == null ? 1 : estimate.factor;
  }

  /**
   * Takes a prompt as a sample of its server's speed, unless it was expected to wait for too long:
   * the measured time would then show the queue rather than the server.
   */
  void onFirstOutput(Server server, FirstOutput output, long nowMicros) {
    if (!isLearning) {
      return;
    }
    FirstOutputModel model =
        models.computeIfAbsent(server.entry().service(), service -> new FirstOutputModel());
    double expectedMicros = Math.max(1, model.expectedMicros(output.prefillTokens()));
    double totalMicros = output.waitMicros() + factor(server) * expectedMicros;
    if (output.waitMicros() >= MAX_WAIT_SHARE * totalMicros) {
      return;
    }
    boolean isComparable = model.isKnown();
    double measured = (output.durationMicros() - output.waitMicros()) / expectedMicros;
    double ratio = isComparable ? clamped(measured) : Math.max(MIN_RATIO, measured);
    model.onFirstOutput(output.prefillTokens(), ratio * expectedMicros);
    if (!isComparable) {
      return;
    }
    // Parts of the prompt that are assumed to be cached may be lost, so that the time depends on
    // the cache rather than the server: the more they would add, the less the sample counts.
    double weight =
        Math.min(1, expectedMicros / Math.max(1, model.expectedMicros(output.promptTokens())));
    Estimate estimate = estimateOf(server);
    estimate.add(weight, ratio, nowMicros);
    estimate.newWeight += weight;
    estimate.newWeightedRatio += weight * ratio;
    counters.increment("speeds.samples");
  }

  /** Adds the samples of another router; those of unknown servers are dropped. */
  void onAnnounced(
      List<UpstreamSpeed> speeds, Function<String, Optional<Server>> servers, long nowMicros) {
    if (isLearning) {
      speeds.forEach(
          speed ->
              servers
                  .apply(speed.upstream())
                  .ifPresent(server -> onAnnounced(server, speed, nowMicros)));
    }
  }

  private void onAnnounced(Server server, UpstreamSpeed speed, long nowMicros) {
    if (!speed.incarnation().equals(server.incarnation())) {
      counters.increment("speeds.other-incarnation");
      return;
    }
    double weight = clamped(speed.weight(), 0, MAX_ANNOUNCED_WEIGHT);
    if (weight > 0) {
      estimateOf(server).add(weight, clamped(speed.ratio()), nowMicros);
    }
  }

  /**
   * Computes the factors anew, drops what is known of servers that are gone, and announces new
   * samples if a message is due.
   *
   * @param servers all known servers
   * @param routers number of routers in the fleet
   */
  void onTick(Collection<Server> servers, int routers, long nowMicros) {
    if (!isLearning || nowMicros < nextUpdateMicros) {
      return;
    }
    nextUpdateMicros = nowMicros + UPDATE_INTERVAL_MICROS;
    Map<String, List<Server>> byService = new HashMap<>();
    Set<String> names = new HashSet<>();
    for (Server server : servers) {
      byService.computeIfAbsent(server.entry().service(), service -> new ArrayList<>()).add(server);
      names.add(server.name());
    }
    estimates.keySet().retainAll(names);
    models.keySet().retainAll(byService.keySet());
    byService.values().forEach(service -> updateFactors(service, nowMicros));
    announce(routers, nowMicros);
  }

  private void updateFactors(List<Server> service, long nowMicros) {
    double confidences = 0;
    double ratios = 0;
    for (Server server : service) {
      Estimate estimate = estimates.get(server.name());
      if (estimate != null) {
        estimate.onIncarnation(server.incarnation());
        estimate.decay(nowMicros);
        double total = estimate.weight + PRIOR_WEIGHT;
        confidences += estimate.weight / total;
        ratios += estimate.weightedRatio / total;
      }
    }
    if (confidences == 0) {
      return;
    }
    double average = ratios / confidences;
    double sum = 0;
    for (Server server : service) {
      sum += shrunk(server, average);
    }
    for (Server server : service) {
      Estimate estimate = estimates.get(server.name());
      if (estimate != null) {
        double factor = shrunk(server, average) * service.size() / sum;
        estimate.factor = Math.max(MIN_RATIO, Math.min(MAX_RATIO, factor));
        logIfMoved(server, estimate, nowMicros);
      }
    }
  }

  /** Returns the mean ratio of a server's samples, with the prior at the average of its service. */
  private double shrunk(Server server, double average) {
    Estimate estimate = estimates.get(server.name());
    return estimate == null
        ? average
        : (estimate.weightedRatio + PRIOR_WEIGHT * average) / (estimate.weight + PRIOR_WEIGHT);
  }

  private void logIfMoved(Server server, Estimate estimate, long nowMicros) {
    double quotient = estimate.factor / estimate.loggedFactor;
    if (quotient > LOGGED_CHANGE || quotient < 1 / LOGGED_CHANGE) {
      journal.speed(
          server,
          estimate.factor,
          estimate.loggedFactor,
          estimate.weight,
          TimeUnit.MICROSECONDS.toMillis(nowMicros - estimate.newestMicros));
      estimate.loggedFactor = estimate.factor;
    }
  }

  private void announce(int routers, long nowMicros) {
    if (nowMicros < nextAnnounceMicros) {
      return;
    }
    List<UpstreamSpeed> speeds = new ArrayList<>();
    estimates.forEach(
        (name, estimate) -> {
          if (estimate.newWeight > 0) {
            speeds.add(
                new UpstreamSpeed(
                    name,
                    estimate.incarnation,
                    estimate.newWeight,
                    estimate.newWeightedRatio / estimate.newWeight));
            estimate.newWeight = 0;
            estimate.newWeightedRatio = 0;
          }
        });
    if (!speeds.isEmpty()) {
      nextAnnounceMicros =
          nowMicros
              + Math.max(ANNOUNCE_INTERVAL_MICROS, routers * ANNOUNCE_INTERVAL_PER_ROUTER_MICROS);
      commands.accept(new ForwardCommand.AnnounceSpeeds(speeds));
    }
  }

  private Estimate estimateOf(Server server) {
    Estimate estimate =
        estimates.computeIfAbsent(server.name(), name -> new Estimate(server.incarnation()));
    estimate.onIncarnation(server.incarnation());
    return estimate;
  }

  private double clamped(double ratio) {
    return clamped(ratio, MIN_RATIO, MAX_RATIO);
  }

  /** Returns a value within bounds, and counts one outside them; not a number is the lower one. */
  private double clamped(double value, double min, double max) {
    if (value >= min && value <= max) {
      return value;
    }
    counters.increment("speeds.clamped");
    return value > max ? max : min;
  }
}

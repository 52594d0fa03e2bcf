package org.shallothook.coordination.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * This router's share of the requests that a server takes from all routers together, for as long as
 * the server states a limit.
 *
 * <p>Routers divide a limit without asking each other. Each may send at an equal part of the rate
 * and save up at least one request. Since all saved requests may be sent at the same moment, a low
 * limit is divided among the first routers in the server's order only, and the others send nothing.
 *
 * <p>A limit ends when a response no longer states it, so a server that gets no requests is tried
 * from time to time, by one router after the other.
 *
 * <p>Invariant: routers with the same fleet and limit together send at most {@code (seconds +
 * SAVED_SECONDS) * limit + limit + EXTRA_PARTICIPANTS} requests in any interval, besides trials.
 * Not thread-safe.
 */
final class LimitShare {
  /** Routers that a limit is divided among, beyond one for each request per second. */
  private static final int EXTRA_PARTICIPANTS = 3;

  /** Time for which unused requests are saved, in seconds. */
  private static final double SAVED_SECONDS = 0.25;

  /** Time without a statement after which the first router in order tries the server. */
  private static final long TRIAL_MICROS = 5_000_000;

  /** Further time after which the next router in order tries the server. */
  private static final long TRIAL_INTERVAL_MICROS = 1_000_000;

  private static final double MICROS_PER_SECOND = TimeUnit.SECONDS.toMicros(1);

  private double limitPerSecond;
  private double sharePerSecond;
  private int rank;
  private double permits;
  private long updatedMicros;
  private long statedMicros;
  private long triedMicros;

  /** Creates the share of a limit of 0; no request is saved up yet. */
  LimitShare(long nowMicros) {
    updatedMicros = nowMicros;
    statedMicros = nowMicros;
    triedMicros = nowMicros;
  }

  /** Returns the limit in requests per second, of all routers together. */
  double limitPerSecond() {
    return limitPerSecond;
  }

  /** Returns the requests per second that this router may send. */
  double sharePerSecond() {
    return sharePerSecond;
  }

  /** Returns when the limit was last stated, to this router or to another. */
  long statedMicros() {
    return statedMicros;
  }

  /** Records that the server has stated a limit; a change takes effect with {@link #divide}. */
  void onStated(double newLimitPerSecond, long nowMicros) {
    limitPerSecond = newLimitPerSecond;
    statedMicros = nowMicros;
  }

  /**
   * Computes the share again after a change of the limit or of the fleet.
   *
   * @param fleet routers that divide the limit; empty if they are not known, in which case only
   *     trials are allowed
   */
  void divide(String server, Optional<RouterFleet> fleet, long nowMicros) {
    refill(nowMicros);
    rank = fleet.map(known -> known.rankFor(server)).orElse(0);
    int participants =
        fleet
            .map(known -> Math.min(known.size(), (int) limitPerSecond + EXTRA_PARTICIPANTS))
            .orElse(0);
    sharePerSecond = rank < participants ? limitPerSecond / participants : 0;
    permits = Math.min(permits, capacity());
  }

  /** Returns whether this router may send a request now. */
  boolean isAvailable(long nowMicros) {
    refill(nowMicros);
    return permits >= 1 || nowMicros >= trialMicros();
  }

  /** Returns the earliest time at which this router may send a request. */
  long availableMicros(long nowMicros) {
    if (isAvailable(nowMicros)) {
      return nowMicros;
    }
    return sharePerSecond == 0
        ? trialMicros()
        : Math.min(
            trialMicros(),
            nowMicros + (long) Math.ceil((1 - permits) / sharePerSecond * MICROS_PER_SECOND));
  }

  /** Returns the time from one request that this router may send to the next. */
  long intervalMicros() {
    return sharePerSecond == 0
        ? TRIAL_MICROS
        : (long) Math.ceil(MICROS_PER_SECOND / sharePerSecond);
  }

  void onSent(long nowMicros) {
    refill(nowMicros);
    if (permits < 1) {
      triedMicros = nowMicros;
    }
    permits = Math.max(0, permits - 1);
  }

  private long trialMicros() {
    return Math.max(statedMicros, triedMicros) + TRIAL_MICROS + rank * TRIAL_INTERVAL_MICROS;
  }

  private void refill(long nowMicros) {
    double added = sharePerSecond * (nowMicros - updatedMicros) / MICROS_PER_SECOND;
    permits = Math.min(capacity(), permits + added);
    updatedMicros = nowMicros;
  }

  private double capacity() {
    return Math.max(1, SAVED_SECONDS * sharePerSecond);
  }
}

package org.shallothook.coordination.allowance;

import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage.UsedAllowance;

/**
 * What another router has announced of its use of one team's allowance.
 *
 * <p>Between two announcements the rate of use that they show is extrapolated for a limited time.
 * Each method returns what has to be charged for it, which is negative where an extrapolation was
 * too high.
 *
 * <p>Not thread-safe.
 */
final class RemoteUse {
  private long used;
  private double demandPerSecond;
  private double usedPerSecond;
  private long announcedMicros;
  private double extrapolated;

  /** Creates the use of a router whose earlier use is unknown; it is the baseline of later use. */
  RemoteUse(UsedAllowance announced, long nowMicros) {
    used = announced.used();
    demandPerSecond = announced.demandPerSecond();
    announcedMicros = nowMicros;
  }

  double demandPerSecond() {
    return demandPerSecond;
  }

  double usedPerSecond() {
    return usedPerSecond;
  }

  /** Returns whether the router's callers asked for something when it last announced its use. */
  boolean isActive() {
    return usedPerSecond > 0 || demandPerSecond > 0;
  }

  /** Returns whether its use is no longer extrapolated. */
  boolean isOutdated(long extrapolationMicros, long nowMicros) {
    return nowMicros - announcedMicros > extrapolationMicros;
  }

  /** Takes the use of a router that has just begun to use the allowance for a rate. */
  void assumeUsed(double perSecond) {
    usedPerSecond = perSecond;
  }

  /** Returns what the router is assumed to have used since the last call. */
  double extrapolate(long extrapolationMicros, long nowMicros) {
    double micros = Math.max(0, Math.min(extrapolationMicros, nowMicros - announcedMicros));
    double charged = Math.max(0, usedPerSecond * micros / 1_000_000 - extrapolated);
    extrapolated += charged;
    return charged;
  }

  /**
   * Applies an announcement.
   *
   * @param announced use of the team; empty if the announcement lacks the team
   * @param isCounted whether use since the previous announcement is charged
   * @param intervalMicros usual time between two announcements
   * @param longestMicros time over which use is charged; use over a longer time counts for the last
   *     part only, as the rest of it has been refilled since
   * @return what has to be charged
   */
  double onAnnounced(
      Optional<UsedAllowance> announced,
      boolean isCounted,
      long intervalMicros,
      long longestMicros,
      long nowMicros) {
    double elapsedMicros = Math.max(intervalMicros, nowMicros - announcedMicros);
    // The sum falls if a router gives back what did not run, or has lost its count of the team.
    double added = Math.max(0, announced.map(UsedAllowance::used).orElse(used) - used);
    double charged = isCounted ? added * Math.min(1, longestMicros / elapsedMicros) : 0;
    double change = charged - extrapolated;
    used = announced.map(UsedAllowance::used).orElse(used);
    demandPerSecond = announced.map(UsedAllowance::demandPerSecond).orElse(0.0);
    usedPerSecond = added * 1_000_000 / elapsedMicros;
    announcedMicros = nowMicros;
    extrapolated = 0;
    return change;
  }
}

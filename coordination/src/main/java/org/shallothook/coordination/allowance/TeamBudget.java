package org.shallothook.coordination.allowance;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage.UsedAllowance;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.route.TeamAllowance;

/**
 * What one router knows and may use of one team's allowance.
 *
 * <p>The own bucket holds the router's share, so that all routers together keep to the allowance
 * however late they learn of each other. The fleet's bucket is an estimate of what is left over all
 * routers. While much is left, a request is accepted by that alone, so that a team within its
 * allowance is not refused for being uneven.
 *
 * <p>Invariant: the own level is at most the router's share of the capacity, the fleet's level at
 * most the capacity. Not thread-safe.
 */
final class TeamBudget {
  private static final double MICROS_PER_SECOND = 1_000_000;

  /** Part of the rate that is divided by demand. */
  private static final double DEMAND_PART = 0.9;

  /** Part of the rate that is divided equally, so that no share is 0. */
  private static final double EQUAL_PART = 0.1;

  /** Share of a router that does not know how many routers there are. */
  private static final double UNKNOWN_FLEET_SHARE = 1.0 / 40;

  /** Fraction of an equal part that a router uses which hears too little from the others. */
  private static final double CUT_OFF_FRACTION = 0.5;

  /** Fraction of the capacity above which the fleet's level alone admits requests. */
  private static final double OPEN_FRACTION = 0.5;

  /** Fraction of the tolerance by which the fleet's level may be in debt. */
  private static final double DEBT_FRACTION = 0.25;

  /**
   * Routers announce a team that has used this part of an equal share of a second, or demands as
   * much per second. Less demand counts as none in each router, for itself and for the others.
   */
  private static final double ANNOUNCED_PART = 1.0 / 20;

  /**
   * Time constant with which the own level approaches the share of the fleet's, in seconds; about
   * the age of what is known of the others. Without it, a router that took a large request refuses
   * others for seconds while much is left elsewhere: at 0.9 of the allowance with a burst of one
   * second, 4 of 18 simulated cases refused more than 2 in 100 requests, and none with it.
   */
  private static final double BALANCE_SECONDS = 0.3;

  /** Fraction of the rate at which the fleet's bucket is at least assumed to fill. */
  private static final double MIN_REFILL_FRACTION = 0.1;

  /**
   * Longest time after which a refused caller returns because of those refused before it, in
   * microseconds.
   */
  private static final long MAX_RETURN_MICROS = 3_000_000;

  private final AllowanceFleet fleet;
  private final AllowanceBound bound;
  private final Counters counters;
  private final SmoothedRate demand = new SmoothedRate();
  private final TokenBucket own = new TokenBucket();
  private final TokenBucket total = new TokenBucket();
  private final Map<String, RemoteUse> others = new HashMap<>();
  private TeamAllowance allowance;
  private long used;
  private long updatedMicros;
  private long announcedUsed;
  private double askedSinceAnnounced;

  /** When the callers that were refused so far will have been accepted, if they all return. */
  private long returnsUntilMicros;

  /** Creates a budget with empty buckets. */
  TeamBudget(
      TeamAllowance allowance,
      AllowanceFleet fleet,
      AllowanceBound bound,
      Counters counters,
      long nowMicros) {
    this.allowance = allowance;
    this.fleet = fleet;
    this.bound = bound;
    this.counters = counters;
    this.updatedMicros = nowMicros;
  }

  TeamAllowance allowance() {
    return allowance;
  }

  /** Applies a changed allowance; levels are cut to the new capacity. */
  void change(TeamAllowance changed, long nowMicros) {
    update(nowMicros);
    allowance = changed;
    update(nowMicros);
  }

  /** Forgets routers that have left the fleet. */
  void onRouters(long nowMicros) {
    others.keySet().removeIf(router -> !fleet.contains(router));
    update(nowMicros);
  }

  /** Empties the buckets after a standstill, in which the others went on. */
  void onStoodStill(long nowMicros) {
    update(nowMicros);
    own.empty();
    total.empty();
  }

  /** Accepts and charges a request, or refuses it. */
  AllowanceCheck check(long cost, long nowMicros) {
    ask((double) cost, nowMicros);
    update(nowMicros);
    boolean isAccepted = cost == 0 || mayUseOwn() || mayUseTotal(nowMicros);
    AllowanceCheck check =
        new AllowanceCheck(
            isAccepted ? Optional.of(new AllowanceCharge(this, cost, counters)) : Optional.empty(),
            cost,
            own.level(),
            total.level(),
            share(nowMicros),
            fleet.oldestMicros(),
            isAccepted ? nowMicros : returnMicros(cost, nowMicros));
    if (isAccepted) {
      take(cost);
    }
    return check;
  }

  /** Charges a request that needs no check, and counts it as asked for. */
  AllowanceCharge accept(long cost, long nowMicros) {
    ask((double) cost, nowMicros);
    charge(cost, nowMicros);
    return new AllowanceCharge(this, cost, counters);
  }

  private void ask(double cost, long nowMicros) {
    demand.add(cost, nowMicros);
    askedSinceAnnounced += cost;
  }

  void charge(long cost, long nowMicros) {
    update(nowMicros);
    take(cost);
  }

  void refund(long cost, long nowMicros) {
    update(nowMicros);
    used = Math.max(0, used - cost);
    own.add((double) cost, share(nowMicros) * capacity());
    total.add((double) cost, capacity());
  }

  /**
   * Applies what another router has announced.
   *
   * @param announced use of this team; empty if the announcement lacks it
   * @param isCounted whether use since its previous announcement is charged
   */
  void onAnnounced(
      String router,
      AllowanceFleet.Arrival arrival,
      Optional<UsedAllowance> announced,
      boolean isCounted,
      long nowMicros) {
    RemoteUse known = others.get(router);
    if (known == null && announced.isEmpty()) {
      return;
    }
    update(nowMicros);
    if (known == null || arrival.previousMicros().isEmpty()) {
      others.remove(router);
      announced.ifPresent(first -> others.put(router, begin(first, arrival, isCounted, nowMicros)));
      return;
    }
    double change =
        known.onAnnounced(
            announced, isCounted, fleet.intervalMicros(), fleet.silentAfterMicros(), nowMicros);
    total.take(change, floor());
    total.add(0, capacity());
  }

  /**
   * Returns the use to announce; empty if there has been too little since the previous announcement
   * that contained this team.
   */
  Optional<UsedAllowance> announce(String team, long nowMicros) {
    double demandPerSecond = demand.perSecond(nowMicros);
    boolean isAnnounced =
        Math.abs(used - announcedUsed) > announcedAmount()
            || askedSinceAnnounced > announcedAmount()
            || demandPerSecond > announcedAmount();
    if (!isAnnounced) {
      return Optional.empty();
    }
    announcedUsed = used;
    askedSinceAnnounced = 0;
    return Optional.of(new UsedAllowance(team, used, demandPerSecond));
  }

  /**
   * Begins to follow a router. What it used before it was first heard is the baseline. If it was
   * heard without this team, it has begun to use the allowance since, and at most what its callers
   * have asked for.
   */
  private RemoteUse begin(
      UsedAllowance first, AllowanceFleet.Arrival arrival, boolean isCounted, long nowMicros) {
    RemoteUse use = new RemoteUse(first, nowMicros);
    if (arrival.previousMicros().isPresent() && isCounted) {
      double asked = first.demandPerSecond() * SmoothedRate.DECAY_SECONDS;
      total.take(Math.min((double) first.used(), asked), floor());
      use.assumeUsed(Math.min(first.demandPerSecond(), allowance.perSecond()));
    }
    return use;
  }

  private void update(long nowMicros) {
    double seconds = Math.max(0, nowMicros - updatedMicros) / MICROS_PER_SECOND;
    updatedMicros = Math.max(updatedMicros, nowMicros);
    double share = share(nowMicros);
    own.add(share * allowance.perSecond() * seconds, share * capacity());
    // A router that hears from too few of the others does not know what is left over all.
    total.add(refillPerSecond(nowMicros) * seconds, fleet.isCutOff(nowMicros) ? 0 : capacity());
    double floor = floor();
    for (RemoteUse use : others.values()) {
      total.take(use.extrapolate(fleet.extrapolationMicros(), nowMicros), floor);
    }
    if (isTotalKnown(nowMicros)) {
      double missing = share * total.level() - own.level();
      double balanced = missing * (1 - Math.exp(-seconds / BALANCE_SECONDS));
      own.take(-balanced, -capacity());
    }
  }

  private void take(long cost) {
    used += cost;
    own.take((double) cost, -capacity());
    total.take((double) cost, floor());
  }

  private boolean mayUseOwn() {
    return own.level() > 0 && total.level() > leastTotal();
  }

  /**
   * Returns whether the fleet's level alone admits requests: it is high, and no router that uses
   * the allowance has been silent for so long that its use is unknown.
   */
  private boolean mayUseTotal(long nowMicros) {
    return total.level() > OPEN_FRACTION * capacity() && isTotalKnown(nowMicros);
  }

  private boolean isTotalKnown(long nowMicros) {
    return fleet.isKnown()
        && !fleet.isCutOff(nowMicros)
        && others.entrySet().stream().noneMatch(other -> isUnknown(other, nowMicros));
  }

  /** Returns when a request would be accepted if no other came before it. */
  private long acceptedAtMicros(long nowMicros) {
    double usedPerSecond =
        others.values().stream()
            .filter(use -> !use.isOutdated(fleet.extrapolationMicros(), nowMicros))
            .mapToDouble(RemoteUse::usedPerSecond)
            .sum();
    double totalPerSecond =
        Math.max(
            MIN_REFILL_FRACTION * allowance.perSecond(),
            refillPerSecond(nowMicros) - usedPerSecond);
    double ownSeconds = -own.level() / (share(nowMicros) * allowance.perSecond());
    double debtSeconds = (leastTotal() - total.level()) / totalPerSecond;
    double seconds = Math.max(ownSeconds, debtSeconds);
    if (isTotalKnown(nowMicros)) {
      seconds = Math.min(seconds, (OPEN_FRACTION * capacity() - total.level()) / totalPerSecond);
    }
    return nowMicros + 1 + (long) Math.ceil(Math.max(0, seconds) * MICROS_PER_SECOND);
  }

  /**
   * Returns when the caller of a refused request should return: after those that were refused
   * before it, at the rate at which this router can accept them. Callers that all returned at the
   * next free moment would be refused again, all but one.
   */
  private long returnMicros(long cost, long nowMicros) {
    double perSecond = share(nowMicros) * allowance.perSecond();
    long acceptedMicros = acceptedAtMicros(nowMicros);
    long atMicros = Math.max(acceptedMicros, returnsUntilMicros);
    long lastMicros = Math.max(acceptedMicros, nowMicros + MAX_RETURN_MICROS);
    long nextMicros = atMicros + (long) (cost / perSecond * MICROS_PER_SECOND);
    returnsUntilMicros = Math.max(returnsUntilMicros, Math.min(lastMicros, nextMicros));
    return Math.min(lastMicros, atMicros);
  }

  /** Returns the share of the rate and of the capacity that this router may use by itself. */
  private double share(long nowMicros) {
    if (!fleet.isKnown()) {
      return UNKNOWN_FLEET_SHARE;
    }
    double equalPart = 1.0 / fleet.size();
    if (fleet.isCutOff(nowMicros)) {
      // After a restart of all routers nobody has been heard yet, and nobody is cut off.
      return fleet.isNew(nowMicros) ? equalPart : CUT_OFF_FRACTION * equalPart;
    }
    double allDemand = allDemand(nowMicros);
    double demandPart = DEMAND_PART - keptForSilent(CUT_OFF_FRACTION - EQUAL_PART, nowMicros);
    return allDemand > 0
        ? demandPart * ownDemand(nowMicros) / allDemand + EQUAL_PART * equalPart
        : equalPart;
  }

  /**
   * Returns the rate of the fleet's bucket. It lacks what silent routers may use, and the shares of
   * routers that are not silent yet, but whose use is no longer extrapolated.
   */
  private double refillPerSecond(long nowMicros) {
    double unknown = keptForSilent(CUT_OFF_FRACTION, nowMicros);
    double allDemand = allDemand(nowMicros);
    for (Map.Entry<String, RemoteUse> other : others.entrySet()) {
      if (isUnknown(other, nowMicros) && allDemand > 0) {
        unknown +=
            DEMAND_PART * other.getValue().demandPerSecond() / allDemand
                + EQUAL_PART / fleet.size();
      }
    }
    return allowance.perSecond() * Math.max(0, 1 - unknown);
  }

  /**
   * Returns the part of the rate that is left to routers that are silent: they may be running and
   * only cut off, and then use a part for as long as that lasts.
   *
   * @param fraction fraction of an equal part that is kept for each of them
   */
  private double keptForSilent(double fraction, long nowMicros) {
    return fraction * fleet.silent(nowMicros) / fleet.size();
  }

  /** Returns whether a router may be using the allowance at a rate that is no longer known. */
  private boolean isUnknown(Map.Entry<String, RemoteUse> other, long nowMicros) {
    return other.getValue().isActive()
        && other.getValue().isOutdated(fleet.extrapolationMicros(), nowMicros)
        && !fleet.isSilent(other.getKey(), nowMicros);
  }

  /** Returns the demand at this router; too little to be announced counts as none. */
  private double ownDemand(long nowMicros) {
    double perSecond = demand.perSecond(nowMicros);
    return perSecond > announcedAmount() ? perSecond : 0;
  }

  private double allDemand(long nowMicros) {
    double perSecond = ownDemand(nowMicros);
    for (Map.Entry<String, RemoteUse> other : others.entrySet()) {
      double otherDemand = other.getValue().demandPerSecond();
      if (otherDemand > 0 && !fleet.isSilent(other.getKey(), nowMicros)) {
        perSecond += otherDemand;
      }
    }
    return perSecond;
  }

  private double capacity() {
    return bound.capacityOf(allowance);
  }

  /** Returns the level of the fleet down to which routers use their own buckets. */
  private double leastTotal() {
    return -DEBT_FRACTION * bound.toleranceOf(allowance);
  }

  /** Returns the lowest level of the fleet that is remembered: a debt of half a window. */
  private double floor() {
    return -capacity() - allowance.perSecond() * bound.windowSeconds() / 2;
  }

  private double announcedAmount() {
    return ANNOUNCED_PART * allowance.perSecond() / fleet.size();
  }
}

package org.shallothook.coordination.forward;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.shallothook.coordination.message.PeerMessage.PacedUpstream;

/**
 * Window of a server that has started or recovered: the requests without a response that all
 * routers together may have at it, and this router's part of them.
 *
 * <p>Routers divide the window without asking each other, in the server's order of routers. Each
 * applies its own responses at once and those of the others as they announce them. The window grows
 * by one with each response within its target, which doubles it in the time of one response, and by
 * more while it is smaller than the fleet. It does not grow if the response, taken to last longer
 * in proportion to the growth since its request was sent, would be late: otherwise a slow server
 * has got twice as much as it can answer in time when its first late response arrives. A late
 * response, a rejection for want of room or a failure halves the window, unless the request was
 * sent before the last halving and so says nothing about the present one.
 *
 * <p>Not every router has requests for the server while the window is smaller than the fleet. The
 * window therefore also grows by a fixed share of the slots after each interval without a response
 * that forbids growth and without a request that waits for its response, here or at a router that
 * announces it.
 *
 * <p>Invariants: the window is from 1 to the slots until it ends; a window that has ended limits
 * nothing and does not start again. Not thread-safe.
 */
final class ServerPace {
  /** Shortest time between two halvings by this router, in microseconds. */
  static final long HALVING_INTERVAL_MICROS = 200_000;

  /** Shortest time after which a window grows without a response, in microseconds. */
  private static final long MIN_GROWTH_INTERVAL_MICROS = 1_000_000;

  /**
   * Announcements in one growth interval, so that the loss of two in a row does not make a window
   * grow while another router waits for a response.
   */
  private static final int ANNOUNCEMENTS_PER_GROWTH = 4;

  /** Share of the slots that a window starts with and grows by without a response. */
  private static final int SLOTS_DIVISOR = 8;

  /** Share of the slots that a window starts with if most servers of a service have one. */
  private static final int MAJORITY_SLOTS_DIVISOR = 2;

  private static final int MIN_INITIAL_WINDOW = 2;

  /** Share of a window that a router takes that does not know how many there are. */
  private static final int UNKNOWN_FLEET_DIVISOR = 20;

  /**
   * Growth intervals after the end of a window in which others may still have it: a window without
   * a late response ends within eight of them.
   */
  private static final int GROWTHS_UNTIL_OTHERS_ENDED = 10;

  /**
   * Share of the target that a response may be expected to take in a window that grows. Without the
   * margin, the requests that wait longest are late once the window fits the server.
   */
  private static final double MAX_EXPECTED_SHARE = 0.8;

  /** Time within which a sound server has its full part in large fleets, in microseconds. */
  private static final long SOUND_START_MICROS = 1_000_000;

  /** Number of latest windows that are kept to compare responses with. */
  private static final int MAX_KNOWN_WINDOWS = 64;

  private final String server;
  private final String incarnation;
  private final int slots;
  private final PaceCause cause;
  private final long startedMicros;

  /** Latest windows, by the time from which they were in force. */
  private final NavigableMap<Long, Integer> windows = new TreeMap<>();

  private int window;
  private Optional<RouterFleet> fleet = Optional.empty();
  private int rank;
  private long halvedMicros = Long.MIN_VALUE / 2;
  private boolean hasBeenLate;
  private long growsAtMicros;
  private Optional<Long> endedMicros = Optional.empty();
  private int inTime;
  private int unannouncedInTime;
  private int unannouncedLate;

  /** Whether a response that is not announced yet has shown that the window should not grow. */
  private boolean isSufficient;

  private boolean isEndAnnounced;
  private long announcedMicros = Long.MIN_VALUE / 2;

  /**
   * Starts a window.
   *
   * @param server name of the server
   * @param incarnation incarnation of the server that the window is for
   * @param slots requests that the server takes at a time
   * @param window initial window; one that reaches the slots ends at once
   * @param cause why the window starts
   * @param nowMicros current time in microseconds
   */
  ServerPace(
      String server, String incarnation, int slots, int window, PaceCause cause, long nowMicros) {
    this.server = server;
    this.incarnation = incarnation;
    this.slots = slots;
    this.cause = cause;
    this.startedMicros = nowMicros;
    this.unannouncedLate = cause.isFailure() ? 1 : 0;
    this.hasBeenLate = cause.isFailure();
    deferGrowth(nowMicros);
    setWindow(window, nowMicros);
  }

  /**
   * Returns the initial window of a server.
   *
   * @param hasMajority whether most usable servers of the service have a window
   */
  static int initialWindow(int slots, boolean hasMajority) {
    return Math.max(
        MIN_INITIAL_WINDOW, slots / (hasMajority ? MAJORITY_SLOTS_DIVISOR : SLOTS_DIVISOR));
  }

  /**
   * Returns the shortest time between two announcements of a router, in microseconds. It grows with
   * the fleet, so that the messages that a router receives do not.
   */
  static long announcementIntervalMicros(int routers) {
    return Math.max(100_000, 5_000L * routers);
  }

  String incarnation() {
    return incarnation;
  }

  PaceCause cause() {
    return cause;
  }

  long startedMicros() {
    return startedMicros;
  }

  int window() {
    return window;
  }

  /** Returns the number of responses within their targets that all routers have announced. */
  int inTime() {
    return inTime;
  }

  boolean hasEnded() {
    return endedMicros.isPresent();
  }

  /** Returns whether no response in the window is known, neither here nor from other routers. */
  boolean isUntested() {
    return inTime == 0 && !hasBeenLate;
  }

  /** Returns whether the window has ended so recently that other routers may still have it. */
  boolean hasEndedRecently(long nowMicros) {
    return endedMicros
        .filter(at -> nowMicros - at < GROWTHS_UNTIL_OTHERS_ENDED * growthIntervalMicros())
        .isPresent();
  }

  /**
   * Returns whether no response has been late, and the window is so new that a sound server is
   * expected to have its full part soon.
   */
  boolean isSound(long nowMicros) {
    return !hasBeenLate && nowMicros - startedMicros < SOUND_START_MICROS;
  }

  /** Divides the window among the routers of a fleet; empty if they are not known. */
  void divide(Optional<RouterFleet> newFleet) {
    fleet = newFleet;
    rank = newFleet.map(known -> known.rankFor(server)).orElse(0);
  }

  /** Returns the requests without a response that this router may have at the server. */
  int part() {
    if (fleet.isEmpty()) {
      return Math.max(1, window / UNKNOWN_FLEET_DIVISOR);
    }
    int routers = fleet.get().size();
    return window / routers + (rank < window % routers ? 1 : 0);
  }

  /** Returns whether this router may send a request if it has some without a response. */
  boolean hasRoom(int unanswered) {
    return hasEnded() || unanswered < part();
  }

  /** Raises a window that no response has been late in. */
  void raise(int minWindow, long nowMicros) {
    if (!hasEnded() && !hasBeenLate) {
      setWindow(Math.max(window, minWindow), nowMicros);
    }
  }

  /**
   * Records the response to a request.
   *
   * @param durationMicros time from the request to the response
   * @param targetMicros target for that time
   * @return whether the window was halved
   */
  boolean onResponse(long sentMicros, long durationMicros, long targetMicros, long nowMicros) {
    if (durationMicros > targetMicros) {
      return onFailure(sentMicros, nowMicros);
    }
    if (!hasEnded() && sentMicros >= startedMicros) {
      long grown = grownWindow(sentMicros, durationMicros, targetMicros);
      if (grown > window) {
        unannouncedInTime++;
        inTime++;
        setWindow(grown, nowMicros);
      } else {
        isSufficient = true;
        deferGrowth(nowMicros);
      }
    }
    return false;
  }

  /**
   * Records a response later than its target, a rejection for want of room, or a failure.
   *
   * @return whether the window was halved
   */
  boolean onFailure(long sentMicros, long nowMicros) {
    if (hasEnded() || sentMicros < startedMicros || sentMicros < halvedMicros) {
      return false;
    }
    unannouncedLate++;
    return halve(nowMicros);
  }

  /**
   * Applies what another router announces of the same incarnation.
   *
   * @return whether the window was halved
   */
  boolean onAnnounced(PacedUpstream announced, long nowMicros) {
    if (hasEnded()) {
      return false;
    }
    boolean isEnd = announced.window() >= slots;
    if (announced.inTime() == 0 && announced.late() == 0 && !isEnd) {
      // The other router waits for a response, or would get late ones from a larger window.
      deferGrowth(nowMicros);
    }
    inTime = (int) Math.min(Integer.MAX_VALUE, (long) inTime + announced.inTime());
    // Until a response is late, all routers follow the one that knows most. Its announcements may
    // have been lost, or this router may have noticed the start later.
    boolean isFollowed = !hasBeenLate && (announced.inTime() > 0 || isEnd);
    setWindow(
        Math.max((long) window + announced.inTime(), isFollowed ? announced.window() : 0),
        nowMicros);
    return announced.late() > 0 && halve(nowMicros);
  }

  /**
   * Lets the window grow if the interval for that has passed.
   *
   * @param isWaiting whether requests of this router have been without a response for some time
   */
  void onTick(boolean isWaiting, long nowMicros) {
    if (hasEnded()) {
      return;
    }
    if (isWaiting) {
      deferGrowth(nowMicros);
    } else if (nowMicros >= growsAtMicros) {
      deferGrowth(nowMicros);
      setWindow((long) window + Math.max(1, slots / SLOTS_DIVISOR), nowMicros);
    }
  }

  /** Returns for how long requests are without a response before this is announced. */
  long waitMicros() {
    return growthIntervalMicros() / ANNOUNCEMENTS_PER_GROWTH;
  }

  /**
   * Returns what the other routers have not been told, if there is anything, and counts it as told.
   *
   * @param isWaiting whether requests of this router have been without a response for some time
   */
  Optional<PacedUpstream> announce(boolean isWaiting, long nowMicros) {
    boolean hasNews = unannouncedInTime > 0 || unannouncedLate > 0;
    boolean isSufficientDue = !hasEnded() && isSufficient;
    boolean isRepeatDue = !hasEnded() && isWaiting && nowMicros - announcedMicros >= waitMicros();
    boolean isEndDue = hasEnded() && !isEndAnnounced;
    if (!hasNews && !isSufficientDue && !isRepeatDue && !isEndDue) {
      return Optional.empty();
    }
    PacedUpstream announced =
        new PacedUpstream(server, incarnation, unannouncedInTime, unannouncedLate, window);
    unannouncedInTime = 0;
    unannouncedLate = 0;
    isSufficient = false;
    isEndAnnounced = hasEnded();
    announcedMicros = nowMicros;
    return Optional.of(announced);
  }

  /**
   * Returns the window after a response within its target.
   *
   * <p>It grows by one. While it is smaller than the fleet, only some routers may send, and each of
   * their responses stands for those that the others would have had. It then grows to half of what
   * a server that answers one request after the other does in time; half, since the responses that
   * arrive first have waited least. After a late response this is no longer assumed.
   */
  private long grownWindow(long sentMicros, long durationMicros, long targetMicros) {
    double allowedMicros = MAX_EXPECTED_SHARE * targetMicros;
    double expectedMicros = (double) durationMicros * (window + 1) / windowAt(sentMicros);
    long grown = expectedMicros <= allowedMicros ? window + 1L : window;
    int represented = fleet.map(RouterFleet::size).orElse(1) / window;
    return hasBeenLate || represented <= 1
        ? grown
        : Math.max(
            grown,
            Math.min(
                window + represented, (long) (allowedMicros / (2 * Math.max(1, durationMicros)))));
  }

  private boolean halve(long nowMicros) {
    hasBeenLate = true;
    deferGrowth(nowMicros);
    if (nowMicros - halvedMicros < HALVING_INTERVAL_MICROS) {
      return false;
    }
    halvedMicros = nowMicros;
    setWindow(window / 2, nowMicros);
    return true;
  }

  private void setWindow(long newWindow, long nowMicros) {
    window = (int) Math.min(slots, Math.max(1, newWindow));
    windows.put(nowMicros, window);
    if (windows.size() > MAX_KNOWN_WINDOWS) {
      windows.pollFirstEntry();
    }
    if (window == slots && !hasEnded()) {
      endedMicros = Optional.of(nowMicros);
    }
  }

  /** Returns the window at a time; the earliest known one if the time is before that. */
  private int windowAt(long micros) {
    Map.Entry<Long, Integer> known = windows.floorEntry(micros);
    return known == null ? windows.firstEntry().getValue() : known.getValue();
  }

  private void deferGrowth(long nowMicros) {
    growsAtMicros = nowMicros + growthIntervalMicros();
  }

  private long growthIntervalMicros() {
    int routers = fleet.map(RouterFleet::size).orElse(1);
    return Math.max(
        MIN_GROWTH_INTERVAL_MICROS, ANNOUNCEMENTS_PER_GROWTH * announcementIntervalMicros(routers));
  }
}

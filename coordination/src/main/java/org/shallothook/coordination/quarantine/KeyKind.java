package org.shallothook.coordination.quarantine;

/**
 * What a key of {@link CrashEvidence} identifies. Decides how much crashes weigh against it.
 *
 * <p>Servers that crash at the same moment may have a common cause, such as a loss of power. Then a
 * key that is in use was on most of them, whatever the cause.
 *
 * <p>Immutable and thread-safe.
 */
enum KeyKind {
  /** A part of prompts, which requests of many callers have. */
  PART {
    @Override
    int countedPerMoment(boolean mayBeInUse) {
      return mayBeInUse ? 1 : QUARANTINE_CRASHES - 1;
    }

    @Override
    int requiredCrashes(boolean wasClearedRecently) {
      return wasClearedRecently ? CLEARED_QUARANTINE_CRASHES : QUARANTINE_CRASHES;
    }
  },
  /**
   * The whole content of a request. Unless it is in use, several servers run it at once only
   * because it is being repeated.
   */
  CONTENT {
    @Override
    int countedPerMoment(boolean mayBeInUse) {
      return mayBeInUse ? QUARANTINE_CRASHES - 1 : Integer.MAX_VALUE;
    }

    @Override
    int requiredCrashes(boolean wasClearedRecently) {
      return QUARANTINE_CRASHES;
    }
  };

  /** Crashes after which a key is quarantined. */
  private static final int QUARANTINE_CRASHES = 3;

  /**
   * Crashes after which a key is quarantined that was cleared recently: it has worked before, so
   * more is needed to blame it.
   */
  private static final int CLEARED_QUARANTINE_CRASHES = 5;

  /**
   * Returns how many crashes of one moment count.
   *
   * @param mayBeInUse whether requests with the key have been answered recently, or may have been
   */
  abstract int countedPerMoment(boolean mayBeInUse);

  /** Returns how many crashes must count for a quarantine. */
  abstract int requiredCrashes(boolean wasClearedRecently);
}

package org.shallothook.coordination.port;

import java.util.Locale;

/**
 * Kinds of decisions that are written to the decision log.
 *
 * <p>Immutable and thread-safe.
 */
public enum Decision {
  /** A request was sent to a server. */
  SEND(Weight.ROUTINE),
  /** A request waits for capacity on a server. */
  WAIT(Weight.ROUTINE),
  /** A server's response is being relayed to the caller. */
  RELAY(Weight.ROUTINE),
  /** A request has ended with the complete response of a server. */
  COMPLETE(Weight.ROUTINE),
  /** A request is retried on another server. */
  RETRY(Weight.NOTABLE),
  /** An interrupted stream is resumed on another server. */
  RESUME(Weight.NOTABLE),
  /** The server of a stream is silent, and the stream is resumed elsewhere or stays there. */
  STALL(Weight.NOTABLE),
  /** An attempt has failed. */
  ATTEMPT_FAILED(Weight.NOTABLE),
  /** A server sent a response that is not taken as that of the current request. */
  UNEXPECTED_RESPONSE(Weight.NOTABLE),
  /** A request was refused. */
  REFUSE(Weight.NOTABLE),
  /** A request was beyond the allowance of its team; what that was decided by. */
  ALLOWANCE(Weight.NOTABLE),
  /** A response was aborted before it was complete. */
  BREAK_OFF(Weight.NOTABLE),
  /** A caller disconnected before its response was complete. */
  CALLER_GONE(Weight.NOTABLE),
  /** A caller's connection was closed although a request that was read has no complete response. */
  CONNECTION_CLOSED(Weight.NOTABLE),
  /** A version of the configuration took effect. */
  CONFIGURATION(Weight.NOTABLE),
  /** The known state of a server has changed. */
  SERVER(Weight.NOTABLE),
  /** What a server states about the requests that it takes has changed. */
  LIMIT(Weight.NOTABLE),
  /** A server that has started or recovered gets a window, or it has ended. */
  PACE(Weight.NOTABLE),
  /** The desired version of the weights has changed. */
  WEIGHTS(Weight.NOTABLE),
  /** A stream is to be resumed; what is known about the software version that began it. */
  ORIGIN(Weight.NOTABLE),
  /** The oldest declared software version of a service has changed. */
  SOFTWARE(Weight.NOTABLE),
  /** An order was issued to a server, or has ended. */
  ORDER(Weight.NOTABLE),
  /** A request has crashed a server. */
  CRASH(Weight.NOTABLE),
  /** What requests that crash servers have in common was quarantined, or is no longer. */
  QUARANTINE(Weight.NOTABLE),
  /** A dependency became unavailable or available again. */
  DEPENDENCY(Weight.NOTABLE),
  /** One connection has occupied an event loop for long. */
  LONG_TURN(Weight.NOTABLE),
  /** The process starts, stops or applies new settings. */
  PROCESS(Weight.NOTABLE);

  /** Importance of a log line. Routine lines are dropped first when there are too many. */
  public enum Weight {
    ROUTINE,
    NOTABLE
  }

  private final Weight weight;

  Decision(Weight weight) {
    this.weight = weight;
  }

  /** Returns the importance of the log line. */
  public Weight weight() {
    return weight;
  }

  /** Returns the form used in log lines. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}

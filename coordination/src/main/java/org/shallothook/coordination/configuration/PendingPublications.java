package org.shallothook.coordination.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.configuration.ConfigurationError;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * The publications in progress at one router.
 *
 * <p>Invariant: every publication ends with one result, by its deadline at the latest. Not
 * thread-safe: used on the decision thread.
 */
public final class PendingPublications {
  /** Default timeout of a publication, in microseconds. */
  public static final long DEFAULT_TIMEOUT_MICROS = 10_000_000;

  private final Outbox outbox;
  private final ConfigurationReplica replica;
  private final Function<TeamTemplate, Optional<ConfigurationError>> fleetCheck;
  private final Map<Publication, Consumer<PublicationResult>> open = new LinkedHashMap<>();

  /** Creates an instance that publishes through a replica, without checks against the fleet. */
  public PendingPublications(Outbox outbox, ConfigurationReplica replica) {
    this(outbox, replica, template -> Optional.empty());
  }

  /**
   * Creates an instance that publishes through a replica.
   *
   * @param fleetCheck returns why the current fleet cannot serve a valid template, if it cannot
   */
  public PendingPublications(
      Outbox outbox,
      ConfigurationReplica replica,
      Function<TeamTemplate, Optional<ConfigurationError>> fleetCheck) {
    this.outbox = outbox;
    this.replica = replica;
    this.fleetCheck = fleetCheck;
  }

  /**
   * Starts to publish a change.
   *
   * @param request change to publish
   * @param deadlineMicros when the publication ends undecided, in microseconds since the epoch
   * @param onEnd receives the result, on the decision thread
   */
  public void publish(
      ChangeRequest request,
      long deadlineMicros,
      Consumer<PublicationResult> onEnd,
      long nowMicros) {
    open.put(new Publication(outbox, replica, fleetCheck, request, deadlineMicros), onEnd);
    onTick(nowMicros);
  }

  /** Handles the completion of an append; appends of other components are ignored. */
  public void onLogAppended(long token, long nowMicros) {
    openPublications().forEach(publication -> publication.onLogAppended(token, nowMicros));
    deliverResults();
  }

  /** Handles the failure of an append; appends of other components are ignored. */
  public void onLogAppendFailed(long token, boolean mayHaveTakenEffect, long nowMicros) {
    openPublications()
        .forEach(
            publication -> publication.onLogAppendFailed(token, mayHaveTakenEffect, nowMicros));
    deliverResults();
  }

  /** Advances every publication. Must be called on ticks and after reads of the log. */
  public void onTick(long nowMicros) {
    openPublications().forEach(publication -> publication.onTick(nowMicros));
    deliverResults();
  }

  /** Returns a copy, because publications may end while it is iterated. */
  private List<Publication> openPublications() {
    return new ArrayList<>(open.keySet());
  }

  private void deliverResults() {
    for (Publication publication : openPublications()) {
      if (publication.result().isPresent()) {
        open.remove(publication).accept(publication.result().get());
      }
    }
  }
}

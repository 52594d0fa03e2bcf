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
 * Publications that operators have under way at one router.
 *
 * <p>Invariant: every publication ends with one result, by its deadline at the latest. Not
 * thread-safe: used on the decision thread.
 */
public final class PendingPublications {
  /** Time given to a publication unless the operator names another, in microseconds. */
  public static final long DEFAULT_PATIENCE_MICROS = 10_000_000;

  private final Outbox outbox;
  private final ConfigurationReplica replica;
  private final Function<TeamTemplate, Optional<ConfigurationError>> check;
  private final Map<Publication, Consumer<PublicationResult>> open = new LinkedHashMap<>();

  /** Creates a desk that publishes through a replica. */
  public PendingPublications(Outbox outbox, ConfigurationReplica replica) {
    this(outbox, replica, template -> Optional.empty());
  }

  /**
   * Creates a desk that publishes through a replica.
   *
   * @param check returns why a sound template cannot be honoured by the present fleet
   */
  public PendingPublications(
      Outbox outbox,
      ConfigurationReplica replica,
      Function<TeamTemplate, Optional<ConfigurationError>> check) {
    this.outbox = outbox;
    this.replica = replica;
    this.check = check;
  }

  /**
   * Starts to publish a change.
   *
   * @param request what to publish
   * @param deadlineMicros when to end undecided, in microseconds since the epoch
   * @param onEnd takes the result, on the decision thread
   */
  public void publish(
      ChangeRequest request,
      long deadlineMicros,
      Consumer<PublicationResult> onEnd,
      long nowMicros) {
    open.put(new Publication(outbox, replica, check, request, deadlineMicros), onEnd);
    onTick(nowMicros);
  }

  /** Takes the answer to an append; answers to others' appends are ignored. */
  public void onLogAppended(long token, long nowMicros) {
    copyOfOpen().forEach(publication -> publication.onLogAppended(token, nowMicros));
    tellResults();
  }

  /** Takes the failure of an append; failures of others' appends are ignored. */
  public void onLogAppendFailed(long token, boolean mayHaveTakenEffect, long nowMicros) {
    copyOfOpen()
        .forEach(
            publication -> publication.onLogAppendFailed(token, mayHaveTakenEffect, nowMicros));
    tellResults();
  }

  /** Moves every publication on. To be called on ticks and after reads of the log. */
  public void onTick(long nowMicros) {
    copyOfOpen().forEach(publication -> publication.onTick(nowMicros));
    tellResults();
  }

  private List<Publication> copyOfOpen() {
    return new ArrayList<>(open.keySet());
  }

  private void tellResults() {
    for (Publication publication : copyOfOpen()) {
      if (publication.result().isPresent()) {
        open.remove(publication).accept(publication.result().get());
      }
    }
  }
}

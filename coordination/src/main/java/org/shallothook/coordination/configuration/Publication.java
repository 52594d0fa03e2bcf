package org.shallothook.coordination.configuration;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.configuration.ConfigurationError;
import org.shallothook.state.configuration.ConfigurationRecord;
import org.shallothook.state.configuration.ConfigurationRecordText;
import org.shallothook.state.configuration.HistoryEntry;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.configuration.TemplateParser;

/**
 * Publishes one change and determines its result.
 *
 * <p>The change is appended repeatedly, with the same identifier and base, until a record with that
 * identifier is read back from the log. Repeated records have no effect, so lost responses need no
 * further handling. The result is the verdict on the first such record when the log is applied.
 *
 * <p>Invariant: the result is set once, and a change is reported as accepted only after it was read
 * back. Not thread-safe.
 */
public final class Publication {
  /** Time after which a change that was not read back is appended again, in microseconds. */
  static final long REAPPEND_INTERVAL_MICROS = 2_000_000;

  /**
   * Delay before the next append if the log reported that it did not store one, in microseconds.
   */
  static final long RETRY_DELAY_MICROS = 250_000;

  /** Time between two reads of the log while the result is pending, in microseconds. */
  private static final long READ_INTERVAL_MICROS = 100_000;

  private final Outbox outbox;
  private final ConfigurationReplica replica;
  private final Function<TeamTemplate, Optional<ConfigurationError>> fleetCheck;
  private final ChangeRequest request;
  private final long deadlineMicros;
  private final Set<Long> tokens = new HashSet<>();
  private Optional<PublicationResult> result = Optional.empty();
  private Optional<String> payload = Optional.empty();
  private boolean mayTakeEffect;
  private long nextAppendMicros;
  private long nextReadMicros;

  /**
   * Creates a publication that starts with its first tick.
   *
   * @param fleetCheck returns why the current fleet cannot serve a valid template, if it cannot
   * @param deadlineMicros when the publication ends undecided, in microseconds since the epoch
   */
  public Publication(
      Outbox outbox,
      ConfigurationReplica replica,
      Function<TeamTemplate, Optional<ConfigurationError>> fleetCheck,
      ChangeRequest request,
      long deadlineMicros) {
    this.outbox = outbox;
    this.replica = replica;
    this.fleetCheck = fleetCheck;
    this.request = request;
    this.deadlineMicros = deadlineMicros;
  }

  /** Returns the result, or empty while the publication is in progress. */
  public Optional<PublicationResult> result() {
    return result;
  }

  /** Returns the change that is being published. */
  public ChangeRequest request() {
    return request;
  }

  /** Appends the change, reads it back or ends undecided, as each is due. */
  public void onTick(long nowMicros) {
    if (result.isPresent()) {
      return;
    }
    if (payload.isEmpty() && !replica.isBehind()) {
      validateAndEncode();
    }
    if (result.isEmpty() && payload.isPresent()) {
      result = readBack();
    }
    if (result.isEmpty() && nowMicros >= deadlineMicros) {
      result = Optional.of(new PublicationResult.Undecided(mayTakeEffect));
    }
    if (result.isEmpty() && payload.isPresent()) {
      appendAndReadIfDue(nowMicros);
    }
  }

  /** Handles the completion of an append; returns whether it was this publication's. */
  public boolean onLogAppended(long token, long nowMicros) {
    boolean isOwn = tokens.remove(token);
    if (isOwn) {
      nextReadMicros = nowMicros;
      onTick(nowMicros);
    }
    return isOwn;
  }

  /** Handles the failure of an append; returns whether it was this publication's. */
  public boolean onLogAppendFailed(long token, boolean mayHaveTakenEffect, long nowMicros) {
    boolean isOwn = tokens.remove(token);
    if (isOwn && !mayHaveTakenEffect) {
      nextAppendMicros = Math.min(nextAppendMicros, nowMicros + RETRY_DELAY_MICROS);
    }
    mayTakeEffect |= isOwn && mayHaveTakenEffect;
    return isOwn;
  }

  /** Sets the record to append, or the result if the change is invalid or already in the log. */
  private void validateAndEncode() {
    Optional<PublicationResult> earlier = readBack();
    if (earlier.isPresent()) {
      result = earlier;
      return;
    }
    Optional<ConfigurationError> error = request.source().flatMap(this::validationError);
    if (error.isPresent()) {
      result = error.map(PublicationResult.Invalid::of);
      return;
    }
    long base = request.base().orElse(replica.state().offset());
    payload =
        Optional.of(
            ConfigurationRecordText.write(
                new ConfigurationRecord.Change(
                    request.change(), base, request.template(), request.source())));
  }

  private Optional<ConfigurationError> validationError(String source) {
    Either<ConfigurationError, TeamTemplate> parsed = TemplateParser.parse(source);
    return parsed.fold(Optional::of, this::validationError);
  }

  private Optional<ConfigurationError> validationError(TeamTemplate template) {
    return replica
        .state()
        .findConflictWithOtherTemplates(request.template(), template)
        .or(() -> fleetCheck.apply(template));
  }

  private void appendAndReadIfDue(long nowMicros) {
    if (nowMicros >= nextAppendMicros) {
      nextAppendMicros = nowMicros + REAPPEND_INTERVAL_MICROS;
      tokens.add(
          outbox.appendLog(
              AppendKind.CONFIGURATION, ConfigurationReplica.STREAM, payload.orElseThrow()));
    }
    if (nowMicros >= nextReadMicros) {
      nextReadMicros = nowMicros + READ_INTERVAL_MICROS;
      replica.readNow(nowMicros);
    }
  }

  private Optional<PublicationResult> readBack() {
    Optional<HistoryEntry> entry = replica.log().firstEntryOf(request.change());
    if (entry.isPresent()) {
      return Optional.of(resultOf(entry.get()));
    }
    return replica
        .state()
        .version(request.template())
        .filter(version -> version.changes().contains(request.change()))
        .map(version -> new PublicationResult.Accepted(version.changedAt()));
  }

  private static PublicationResult resultOf(HistoryEntry entry) {
    return switch (entry.verdict()) {
      case ACCEPTED, REPEATED, SNAPSHOT, ROLLED_OUT ->
          new PublicationResult.Accepted(entry.offset());
      case CONFLICT -> new PublicationResult.Conflict(entry.detail());
      case INVALID -> new PublicationResult.Invalid(entry.detail());
    };
  }
}

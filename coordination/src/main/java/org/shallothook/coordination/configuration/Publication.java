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
 * Publishes one change and finds out what became of it.
 *
 * <p>The change is appended again, under the same identifier and base, until a record with that
 * identifier is read back; a repeat has no effect, so lost answers need no other care. The result
 * is what the fold made of the first such record.
 *
 * <p>Invariant: the result is set once; acceptance is told only after reading back. Not
 * thread-safe.
 */
public final class Publication {
  /** Time after which a change that was not read back is appended again, in microseconds. */
  static final long REPEAT_AFTER_MICROS = 2_000_000;

  /** Time between two appends where the log has said that it took none, in microseconds. */
  static final long RETRY_AFTER_MICROS = 250_000;

  /** Time between two reads of the log while a result is awaited, in microseconds. */
  private static final long READ_INTERVAL_MICROS = 100_000;

  private final Outbox outbox;
  private final ConfigurationReplica replica;
  private final Function<TeamTemplate, Optional<ConfigurationError>> check;
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
   * @param check returns why a sound template cannot be honoured by the present fleet
   * @param deadlineMicros when to end undecided, in microseconds since the epoch
   */
  public Publication(
      Outbox outbox,
      ConfigurationReplica replica,
      Function<TeamTemplate, Optional<ConfigurationError>> check,
      ChangeRequest request,
      long deadlineMicros) {
    this.outbox = outbox;
    this.replica = replica;
    this.check = check;
    this.request = request;
    this.deadlineMicros = deadlineMicros;
  }

  /** Returns how the publication ended, once it has. */
  public Optional<PublicationResult> result() {
    return result;
  }

  /** Returns the change that is being published. */
  public ChangeRequest request() {
    return request;
  }

  /** Appends, reads back or gives up, as the time requires. */
  public void onTick(long nowMicros) {
    if (result.isPresent()) {
      return;
    }
    if (payload.isEmpty() && !replica.isBehind()) {
      prepare();
    }
    if (result.isEmpty() && payload.isPresent()) {
      result = readBack();
    }
    if (result.isEmpty() && nowMicros >= deadlineMicros) {
      result = Optional.of(new PublicationResult.Undecided(mayTakeEffect));
    }
    if (result.isEmpty() && payload.isPresent()) {
      proceed(nowMicros);
    }
  }

  /** Takes the answer to an append; returns whether it was this publication's. */
  public boolean onLogAppended(long token, long nowMicros) {
    boolean isOwn = tokens.remove(token);
    if (isOwn) {
      nextReadMicros = nowMicros;
      onTick(nowMicros);
    }
    return isOwn;
  }

  /** Takes the failure of an append; returns whether it was this publication's. */
  public boolean onLogAppendFailed(long token, boolean mayHaveTakenEffect, long nowMicros) {
    boolean isOwn = tokens.remove(token);
    if (isOwn && !mayHaveTakenEffect) {
      nextAppendMicros = Math.min(nextAppendMicros, nowMicros + RETRY_AFTER_MICROS);
    }
    mayTakeEffect |= isOwn && mayHaveTakenEffect;
    return isOwn;
  }

  private void prepare() {
    Optional<PublicationResult> earlier = readBack();
    if (earlier.isPresent()) {
      result = earlier;
      return;
    }
    Optional<ConfigurationError> fault = request.source().flatMap(this::faultOf);
    if (fault.isPresent()) {
      result = fault.map(PublicationResult.Invalid::of);
      return;
    }
    long base = request.base().orElse(replica.state().offset());
    payload =
        Optional.of(
            ConfigurationRecordText.write(
                new ConfigurationRecord.Change(
                    request.change(), base, request.template(), request.source())));
  }

  private Optional<ConfigurationError> faultOf(String source) {
    Either<ConfigurationError, TeamTemplate> parsed = TemplateParser.parse(source);
    return parsed.fold(Optional::of, this::faultOf);
  }

  private Optional<ConfigurationError> faultOf(TeamTemplate template) {
    return replica
        .state()
        .faultBesideOthers(request.template(), template)
        .or(() -> check.apply(template));
  }

  private void proceed(long nowMicros) {
    if (nowMicros >= nextAppendMicros) {
      nextAppendMicros = nowMicros + REPEAT_AFTER_MICROS;
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

package org.shallothook.coordination.router;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.Set;
import org.shallothook.coordination.configuration.ConfigurationReplica;
import org.shallothook.coordination.quarantine.RequestQuarantine;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.configuration.ServiceTemplate;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/**
 * Authenticates, validates and admits requests before they are offered or sent to any upstream.
 *
 * <p>Invariant: a request refused here has not run. Not thread-safe.
 */
final class RequestScreening {
  private static final Set<String> ROLES = Set.of("system", "user", "assistant");
  private static final int PRIORITY_RESERVE_DIVISOR = 8;
  private static final long OVERLOAD_RETRY_AFTER_MICROS = 1_000_000;

  private final RouterOptions options;
  private final ConfigurationReplica configuration;
  private final RequestTable table;
  private final RequestQuarantine poison;
  private final ServedVersions versions;
  private final PromptRenderer renderer;
  private final TeamDirectory teams = new TeamDirectory();
  private boolean isDraining;

  RequestScreening(
      RouterOptions options,
      ConfigurationReplica configuration,
      RequestTable table,
      RequestQuarantine poison,
      ServedVersions versions) {
    this.options = options;
    this.configuration = configuration;
    this.table = table;
    this.poison = poison;
    this.versions = versions;
    this.renderer = new PromptRenderer(options.blockBytes(), options.counters());
  }

  /** Refuses every new request from now on. */
  void drain() {
    isDraining = true;
  }

  boolean isDraining() {
    return isDraining;
  }

  /** Returns the team of a key, or a refusal if the request cannot be admitted now. */
  Either<Refusal, TeamTemplate> authenticate(RequestId request, String key, long nowMicros) {
    if (isDraining) {
      return refuse(RefusalReason.ROUTER_LEAVING, "Router " + options.name() + " is leaving.");
    }
    Optional<TeamTemplate> team = teams.authenticate(key, configuration.state());
    if (team.isEmpty()) {
      return refuse(RefusalReason.UNKNOWN_KEY, "The key belongs to no team.");
    }
    if (table.findChat(request).isPresent() || table.findCall(request).isPresent()) {
      return refuse(RefusalReason.MALFORMED_REQUEST, "The request identifier is in use.");
    }
    if (table.size() >= openRequestLimit(team.get())) {
      return refuseOverload(
          RefusalReason.ROUTER_OVERLOADED, "The router has too many open requests.", nowMicros);
    }
    int open = table.openCountOf(team.get().name());
    if (open >= team.get().limits().maximumConcurrentRequests()) {
      return refuseOverload(
          RefusalReason.TEAM_LIMIT, "The team has " + open + " open requests here.", nowMicros);
    }
    return Either.right(team.get());
  }

  /** Returns the exchange of a valid request from an authenticated team, or its refusal. */
  Either<Refusal, ChatExchange> admit(
      RouterEvent.ChatRequested request, TeamTemplate team, long nowMicros) {
    Optional<Refusal> error = findError(request, team);
    if (error.isPresent()) {
      return Either.left(error.get());
    }
    ModelVersion version =
        versions.versionFor(
            team, configuration.state(), request.tenant(), request.messages(), nowMicros);
    CacheIdentity identity = new CacheIdentity(team.name(), version);
    RenderedPrompt prompt = renderer.render(team, identity, request.tenant(), request.messages());
    int limit = team.limits().maximumPromptBytes();
    if (prompt.bytes().length > limit) {
      return refuse(
          RefusalReason.BODY_TOO_LARGE,
          "The prompt has " + prompt.bytes().length + " bytes, the team's limit is " + limit + ".");
    }
    Optional<Long> until =
        poison.quarantinedUntil(prompt.fingerprint(), prompt.signature(), nowMicros);
    if (until.isPresent()) {
      return Either.left(
          Refusal.notRun(RefusalReason.QUARANTINED, "The request is in quarantine.", until.get()));
    }
    long deadline = request.deadlineMicros().orElse(nowMicros + options.firstTokenWaitMicros());
    if (deadline <= nowMicros) {
      return refuse(
          RefusalReason.DEADLINE_PASSED, "The deadline passed before the request arrived.");
    }
    int outputLimit = team.limits().maximumOutputTokens();
    return Either.right(
        new ChatExchange(
            request.request(),
            team,
            identity,
            prompt,
            Math.min(outputLimit, request.maximumOutputTokens().orElse(outputLimit)),
            configuration.state().offset(),
            nowMicros,
            deadline));
  }

  /** Returns the service of a valid call from an authenticated team, or the refusal of the call. */
  Either<Refusal, ServiceTemplate> admit(RouterEvent.CallRequested call, TeamTemplate team) {
    Optional<ServiceTemplate> service = team.service(call.service());
    if (service.isEmpty()) {
      return refuse(
          RefusalReason.UNKNOWN_SERVICE,
          "Team " + team.name() + " may not call service " + call.service() + ".");
    }
    boolean hasKey = call.idempotencyKey().filter(key -> !key.isBlank()).isPresent();
    if (!hasKey && !service.get().isRepeatable(call.path())) {
      return refuse(
          RefusalReason.IDEMPOTENCY_KEY_MISSING,
          "Calls to " + call.service() + "/" + call.path() + " may not be repeated.");
    }
    return Either.right(service.get());
  }

  /**
   * Returns the limit of open requests for a team. Part of the capacity is reserved for priority
   * teams, which send few requests and must not be refused because other teams have filled the
   * router.
   */
  private int openRequestLimit(TeamTemplate team) {
    int limit = options.maximumOpenRequests();
    return team.priority() == PriorityClass.PRIORITY
        ? limit
        : limit - limit / PRIORITY_RESERVE_DIVISOR;
  }

  private static Optional<Refusal> findError(RouterEvent.ChatRequested request, TeamTemplate team) {
    if (!team.modelVersion().model().equals(request.model())) {
      return Optional.of(
          Refusal.notRun(
              RefusalReason.UNKNOWN_MODEL, "The team does not use model " + request.model() + "."));
    }
    if (request.messages().isEmpty()) {
      return Optional.of(malformed("messages must not be empty."));
    }
    for (ChatMessage message : request.messages()) {
      if (!ROLES.contains(message.role())) {
        return Optional.of(malformed("messages.role must be one of system, user, assistant."));
      }
    }
    Optional<String> tenant = request.tenant();
    if (tenant.isPresent() && team.tenantText(tenant.get()).isEmpty()) {
      return Optional.of(malformed("The team has no tenant " + tenant.get() + "."));
    }
    if (request.maximumOutputTokens().filter(tokens -> tokens <= 0).isPresent()) {
      return Optional.of(malformed("The maximum number of tokens must be positive."));
    }
    return Optional.empty();
  }

  private static Refusal malformed(String detail) {
    return Refusal.notRun(RefusalReason.MALFORMED_REQUEST, detail);
  }

  private static <T> Either<Refusal, T> refuse(RefusalReason reason, String detail) {
    return Either.left(Refusal.notRun(reason, detail));
  }

  private static <T> Either<Refusal, T> refuseOverload(
      RefusalReason reason, String detail, long nowMicros) {
    return Either.left(Refusal.notRun(reason, detail, nowMicros + OVERLOAD_RETRY_AFTER_MICROS));
  }
}

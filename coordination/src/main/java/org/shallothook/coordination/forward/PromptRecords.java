package org.shallothook.coordination.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.forward.PendingRequest.Phase;
import org.shallothook.coordination.forward.PromptPlacement.Placement;
import org.shallothook.state.route.CallKind;
import org.shallothook.state.route.PromptOutline;
import org.shallothook.state.route.ServiceTraits.CacheStore;

/**
 * Records what becomes of placed prompts, for the placement of later ones: the prefixes that
 * servers and the store will hold, how long prefills took, and how much work is open.
 *
 * <p>Invariant: each prefix that other prompts may share is announced to the other routers when it
 * is new to this one. Not thread-safe.
 */
final class PromptRecords {
  private final PromptPlacement placements;
  private final PrefixAnnouncements announcements;
  private int routers = 1;

  PromptRecords(PromptPlacement placements, PrefixAnnouncements announcements) {
    this.placements = placements;
    this.announcements = announcements;
  }

  /** Sets the number of routers that send prompts to the servers, including this one. */
  void onRouterCount(int count) {
    routers = count;
    placements.onRouterCount(count);
  }

  /**
   * Records the prefixes that a server and the store will hold, and announces those that other
   * prompts may share.
   */
  void onSent(PendingRequest request, Placement placement, EngineProfile profile, long nowMicros) {
    Server server = placement.server();
    List<PromptPrefix> prefixes = request.prefixes();
    List<PromptPrefix> shared = prefixes.subList(0, Math.max(1, prefixes.size() - 1));
    List<PromptPrefix> own = prefixes.subList(shared.size(), prefixes.size());
    PrefixLocations locations = placements.prefixLocations();
    List<Long> toAnnounce =
        locations.onSent(shared, server.name(), profile.memoryTokens(), nowMicros);
    locations.onSent(own, server.name(), profile.memoryTokens(), nowMicros);
    announcements.add(server.name(), toAnnounce);
    Optional<CacheStore> store = profile.store().filter(one -> placement.saveTo().isPresent());
    if (store.isPresent()) {
      long saved = (long) routers * request.prompt().orElseThrow().promptTokens();
      announcements.add(
          store.get().address(), placements.onSaved(shared, store.get(), saved, nowMicros));
    }
    server.onPromptSent(
        request.number(),
        request.priority(),
        placements.speed().prefillMicros(placement.prefillTokens()),
        nowMicros);
  }

  /**
   * Records that the first output of a prompt has arrived.
   *
   * @param isSuccess whether the server answered the prompt; an error says nothing of its speed
   * @param runningMicros current time on the {@link RunningClock}
   */
  void onPrefilled(
      PendingRequest request,
      Placement placement,
      boolean isSuccess,
      long runningMicros,
      long nowMicros) {
    Server server = placement.server();
    long durationMicros = nowMicros - request.sentMicros();
    long commonMicros = (long) (durationMicros / placements.speeds().factor(server));
    int tokens = placements.speed().prefilledTokens(commonMicros, placement.prefillTokens());
    long newTokens = (long) routers * tokens;
    placements
        .prefixLocations()
        .onPrefilled(request.prefixes(), server.name(), newTokens, nowMicros);
    server.onPrefillEnded(request.number());
    placements.speed().onFirstOutput(placement.prefillTokens(), commonMicros);
    // After a standstill of this process, the time shows the standstill rather than the server.
    boolean hasRun = runningMicros - request.sentRunningMicros() == durationMicros;
    // Any other answer begins after its last token, and a resumed stream after skipped ones.
    boolean isNewStream =
        request.route().kind() == CallKind.STREAMING && request.lastEvent().isEmpty();
    if (isSuccess && hasRun && isNewStream) {
      placements
          .waitCorrection()
          .onFirstOutput(
              request.service(),
              request.priority(),
              placement.waitMicros() / placement.waitCorrection(),
              durationMicros - placement.prefillMicros(),
              nowMicros);
      ServerSpeeds.FirstOutput output =
          new ServerSpeeds.FirstOutput(
              request.prompt().orElseThrow().promptTokens(),
              placement.prefillTokens(),
              placement.waitMicros(),
              durationMicros);
      placements.speeds().onFirstOutput(server, output, nowMicros);
    }
  }

  /** Records that a server did not prefill a prompt that was sent to it. */
  void onPrefillCanceled(PendingRequest request, Server server) {
    placements.prefixLocations().onPrefillCanceled(request.prefixes(), server.name());
  }

  /** Updates the prefill backlog and the server partition of each service from the open prompts. */
  void onTick(Collection<PendingRequest> open, ServerDirectory servers, long nowMicros) {
    Map<String, Integer> openShort = new HashMap<>();
    for (PendingRequest request : open) {
      request.prompt().ifPresent(prompt -> recordOpen(request, prompt, openShort));
    }
    openShort.forEach(
        (service, count) ->
            placements
                .isolation(service)
                .partition(servers.usable(service, nowMicros), count * routers));
    announcements.onTick(routers, nowMicros);
    placements.speeds().onTick(servers.all(), routers, nowMicros);
  }

  private void recordOpen(
      PendingRequest request, PromptOutline prompt, Map<String, Integer> openShort) {
    String service = request.service();
    double micros = placements.speed().prefillMicros(prompt.promptTokens());
    boolean isLong =
        placements.isolation(service).isLong(micros, request.route().gapTargetMicros());
    openShort.merge(service, isLong ? 0 : 1, Integer::sum);
    if (request.phase() == Phase.SENT) {
      int prefillTokens = request.placement().map(Placement::prefillTokens).orElse(0);
      placements
          .backlog()
          .onQueuedPrefill(
              service, request.priority(), placements.speed().prefillMicros(prefillTokens));
    }
  }
}

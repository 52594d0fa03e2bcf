package org.shallothook.coordination.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/**
 * Runs a sidecar's core with a virtual clock and records its commands and counters. Not
 * thread-safe.
 */
public final class SidecarHarness {
  public static final ModelVersion VERSION = ModelVersion.of("linen", "v1");
  public static final String ROUTER = "router-1";
  public static final long START_MICROS = 1_000_000_000_000L;

  public final List<SidecarCommand> commands = new ArrayList<>();
  public final Map<String, Integer> counters = new TreeMap<>();
  public final SidecarCore core;
  public long nowMicros = START_MICROS;
  private int maximumRunning = 2;

  public SidecarHarness(SidecarOptions.Builder options) {
    core =
        new SidecarCore(
            options.build(), commands::add, name -> counters.merge(name, 1, Integer::sum));
  }

  /**
   * Returns a harness with a ready engine that runs at most the given number of concurrent streams.
   */
  public static SidecarHarness ready(int maximumRunning) {
    return ready(maximumRunning, options());
  }

  public static SidecarHarness ready(int maximumRunning, SidecarOptions.Builder options) {
    SidecarHarness harness = new SidecarHarness(options);
    harness.maximumRunning = maximumRunning;
    harness.receive(ROUTER, 1, new PeerMessage.Hello(InstanceRole.ROUTER, "a"));
    harness.status("e-1");
    harness.handle(new SidecarEvent.CacheListed("e-1", 0, List.of()));
    harness.commands.clear();
    return harness;
  }

  public static SidecarOptions.Builder options() {
    return SidecarOptions.builder("engine-1", 1)
        .maximumPrefills(64)
        .prefillMicrosPerBlock(10_000)
        .streamMicros(100_000);
  }

  public void handle(SidecarEvent event) {
    core.handle(event, nowMicros);
  }

  public void receive(String router, long incarnation, PeerMessage message) {
    handle(new SidecarEvent.PeerMessageReceived(new Envelope(router, incarnation, 0, message)));
  }

  public void receive(PeerMessage message) {
    receive(ROUTER, 1, message);
  }

  /** Reports the engine as ready and not leaving. */
  public void status(String incarnation) {
    status(incarnation, List.of(VERSION), false);
  }

  public void status(String incarnation, List<ModelVersion> ready, boolean isLeaving) {
    handle(new SidecarEvent.EngineStatus(incarnation, ready, 0, maximumRunning, -1, isLeaving));
  }

  /** Advances the clock in ticks, without any response of the engine. */
  public void pass(long micros) {
    long end = nowMicros + micros;
    while (nowMicros < end) {
      nowMicros = Math.min(end, nowMicros + SidecarCore.TICK_INTERVAL_MICROS);
      handle(new SidecarEvent.Tick());
    }
  }

  public static AttemptId attempt(String request) {
    return new AttemptId(new RequestId(request), 1);
  }

  /** Returns block keys that are equal for all requests with the same prefix. */
  public static List<BlockKey> keys(String prefix, int blocks) {
    List<BlockKey> keys = new ArrayList<>();
    for (int block = 0; block < blocks; block++) {
      keys.add(new BlockKey(prefix.hashCode(), block + 1));
    }
    return keys;
  }

  /** Builder of an offer. */
  public static final class OfferBuilder {
    private final AttemptId attempt;
    private String team = "guild";
    private ModelVersion version = VERSION;
    private PriorityClass priority = PriorityClass.ORDINARY;
    private List<BlockKey> keys = List.of();
    private int promptBytes = 1_000;
    private long deadlineMicros = START_MICROS + 60_000_000;
    private int resumePosition;
    private String fingerprint = "f";
    private boolean isSuspect;
    private int rank;

    OfferBuilder(AttemptId attempt) {
      this.attempt = attempt;
    }

    public OfferBuilder team(String name) {
      team = name;
      return this;
    }

    public OfferBuilder version(ModelVersion other) {
      version = other;
      return this;
    }

    public OfferBuilder priority() {
      priority = PriorityClass.PRIORITY;
      return this;
    }

    public OfferBuilder keys(List<BlockKey> chain) {
      keys = chain;
      return this;
    }

    public OfferBuilder promptBytes(int bytes) {
      promptBytes = bytes;
      return this;
    }

    public OfferBuilder deadline(long micros) {
      deadlineMicros = micros;
      return this;
    }

    public OfferBuilder resume(int position) {
      resumePosition = position;
      return this;
    }

    public OfferBuilder fingerprint(String digest) {
      fingerprint = digest;
      return this;
    }

    public OfferBuilder suspect() {
      isSuspect = true;
      return this;
    }

    public OfferBuilder rank(int rendezvousRank) {
      rank = rendezvousRank;
      return this;
    }

    public PeerMessage.Offer build() {
      return new PeerMessage.Offer(
          attempt,
          new CacheIdentity(team, version),
          priority,
          keys,
          promptBytes,
          100,
          deadlineMicros,
          resumePosition,
          fingerprint,
          isSuspect,
          rank);
    }
  }

  public static OfferBuilder offer(String request) {
    return new OfferBuilder(attempt(request));
  }

  /**
   * Sends an offer, and submits the prompt if it is accepted. Returns the reason if it is refused.
   */
  public Optional<RefusalReason> send(OfferBuilder builder) {
    PeerMessage.Offer offer = builder.build();
    receive(offer);
    Optional<RefusalReason> refusal = reply(offer.attempt()).refusal();
    if (refusal.isEmpty()) {
      receive(
          new PeerMessage.Submit(offer.attempt(), "prompt", "x".repeat(offer.resumePosition())));
    }
    return refusal;
  }

  public PeerMessage.OfferReply reply(AttemptId attempt) {
    return sent(PeerMessage.OfferReply.class).stream()
        .filter(reply -> reply.attempt().equals(attempt))
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  /** Reports generated tokens of a run on the engine, one character each. */
  public void tokens(AttemptId run, int position, int count) {
    handle(new SidecarEvent.EngineTokens(run, position, count, "t".repeat(count)));
  }

  public void end(AttemptId run, int position) {
    handle(new SidecarEvent.EngineEnded(run, position, "stop", 0));
  }

  public void fail(AttemptId run, boolean hasReachedEngine) {
    handle(new SidecarEvent.EngineFailed(run, hasReachedEngine, "broken"));
  }

  public void instances(long version, boolean isSelfLeaving, boolean hasStore) {
    List<Instance> instances = new ArrayList<>();
    instances.add(
        new Instance(
            "engine-1", InstanceRole.MODEL_ENGINE, "127.0.0.1:1", "a", "r", "", isSelfLeaving));
    if (hasStore) {
      instances.add(
          new Instance("store", InstanceRole.CACHE_STORE, "127.0.0.1:2", "a", "r", "", false));
    }
    handle(new SidecarEvent.InstancesRead(new InstanceList(version, instances)));
  }

  /** Returns the commands of a type so far. */
  public <T extends SidecarCommand> List<T> commands(Class<T> kind) {
    return commands.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  /** Returns the messages of a type sent so far. */
  public <T extends PeerMessage> List<T> sent(Class<T> kind) {
    return commands(SidecarCommand.SendToPeer.class).stream()
        .map(SidecarCommand.SendToPeer::message)
        .filter(kind::isInstance)
        .map(kind::cast)
        .toList();
  }

  /** Returns the runs started on the engine so far. */
  public List<AttemptId> started() {
    return commands(SidecarCommand.StartAnswer.class).stream()
        .map(SidecarCommand.StartAnswer::attempt)
        .toList();
  }

  public PeerMessage.Failed failure(AttemptId attempt) {
    return sent(PeerMessage.Failed.class).stream()
        .filter(failed -> failed.attempt().equals(attempt))
        .reduce((first, second) -> second)
        .orElseThrow();
  }
}

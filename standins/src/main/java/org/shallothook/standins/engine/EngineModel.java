package org.shallothook.standins.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.standins.cache.BlockCache;
import org.shallothook.standins.cache.CacheFeed;
import org.shallothook.standins.cache.CacheFeedPage;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.EngineRole;

/**
 * Simulates an inference engine in virtual time: prompts are prefilled one at a time, all decoding
 * streams advance together in steps, and prompt prefixes are cached.
 *
 * <pre>{@code
 * EngineModel engine = new EngineModel("engine-1", EngineSettings.DEFAULT, versions);
 * engine.advanceTo(nowMicros, listener);
 * engine.start(request, nowMicros);
 * long next = engine.nextEventMicros();
 * }</pre>
 *
 * <p>Invariant: the same calls at the same times give the same events. Callers must call {@link
 * #advanceTo} with the current time before any other method. Not thread-safe.
 */
public final class EngineModel {
  /** Time of an event that is not scheduled. */
  public static final long NEVER = Long.MAX_VALUE;

  private final String name;
  private final EngineSettings settings;
  private final List<ModelVersion> initialVersions;
  private LoadedVersions versions;
  private final LaggingLoad load;
  private final InjectedFaults disturbances = new InjectedFaults();
  private final Map<String, Generation> generations = new LinkedHashMap<>();
  private final List<Generation> waiting = new ArrayList<>();
  private final List<Generation> decoding = new ArrayList<>();
  private final EngineStatistics statistics = new EngineStatistics();
  private CacheFeed feed;
  private BlockCache cache;
  private Generation prefilling;
  private long prefillStartMicros;
  private long prefillTokens;
  private long prefillEndMicros = NEVER;
  private long stepEndMicros = NEVER;
  private long crashMicros = NEVER;
  private long restartMicros = NEVER;
  private int incarnation = 1;
  private long nextArrivalSequence;
  private double slowFactor = 1;
  private boolean isLeaving;

  /**
   * Creates an engine with an empty cache.
   *
   * @param name prefix of the incarnation identifiers
   * @param settings settings of the engine
   * @param loaded model versions loaded at the start and after each restart
   */
  public EngineModel(String name, EngineSettings settings, List<ModelVersion> loaded) {
    this.name = name;
    this.settings = settings;
    this.initialVersions = List.copyOf(loaded);
    this.load = new LaggingLoad(settings.loadLagMicros());
    startEmpty();
  }

  /** Returns the faults injected at the engine's address. */
  public InjectedFaults disturbances() {
    return disturbances;
  }

  /** Starts generating an answer. A running request with the same identifier is cancelled. */
  public StartResult start(EngineRequest request, long nowMicros) {
    if (isDown()) {
      return StartResult.UNREACHABLE;
    }
    if (!versions.isLoaded(request.identity().modelVersion())) {
      return StartResult.WRONG_VERSION;
    }
    cancel(request.id(), nowMicros);
    if (generations.size() >= settings.maximumRunning()) {
      return StartResult.FULL;
    }
    Generation generation = new Generation(request, nextArrivalSequence++, settings);
    generations.put(request.id(), generation);
    waiting.add(generation);
    statistics.started++;
    load.record(generations.size(), nowMicros);
    beginPrefill(nowMicros);
    return StartResult.STARTED;
  }

  /** Cancels a request and returns whether it was queued or running. */
  public boolean cancel(String id, long nowMicros) {
    Generation generation = generations.remove(id);
    if (generation == null) {
      return false;
    }
    statistics.cancelled++;
    load.record(generations.size(), nowMicros);
    waiting.remove(generation);
    decoding.remove(generation);
    if (prefilling == generation) {
      abandonPrefill(nowMicros);
    }
    return true;
  }

  /** Pauses or resumes token generation for a stream whose client reads slowly. */
  public void setPaused(String id, boolean isPaused) {
    Generation generation = generations.get(id);
    if (generation != null) {
      generation.isPaused = isPaused;
    }
  }

  /** Processes all events that are due up to and including a time. */
  public void advanceTo(long nowMicros, EngineListener listener) {
    long due = nextEventMicros();
    while (due <= nowMicros) {
      processNextEvent(due, listener);
      due = nextEventMicros();
    }
  }

  /** Returns the time of the next event in microseconds, or {@link #NEVER} if none is scheduled. */
  public long nextEventMicros() {
    long due =
        Math.min(Math.min(prefillEndMicros, stepEndMicros), Math.min(crashMicros, restartMicros));
    return due == NEVER ? NEVER : disturbances.resumedAtMicros(due);
  }

  private void processNextEvent(long atMicros, EngineListener listener) {
    if (crashMicros <= atMicros) {
      crash(atMicros, listener);
    } else if (restartMicros <= atMicros) {
      restart();
    } else if (prefillEndMicros <= atMicros && prefillEndMicros <= stepEndMicros) {
      endPrefill(atMicros, listener);
    } else {
      endStep(atMicros, listener);
    }
  }

  private void beginPrefill(long nowMicros) {
    if (prefilling != null || waiting.isEmpty()) {
      return;
    }
    Generation next = waiting.get(0);
    for (Generation candidate : waiting) {
      next = candidate.precedes(next) ? candidate : next;
    }
    waiting.remove(next);
    prefilling = next;
    if (next.request.isPoison()) {
      crashMicros = nowMicros;
    }
    EngineRequest request = next.request;
    next.cachedBlocks = cache.match(request.identity(), request.keys());
    long cached = (long) next.cachedBlocks * settings.blockTokens();
    long prompt = settings.promptTokens(request.prompt());
    statistics.cachedTokens += Math.min(cached, prompt);
    prefillTokens = Math.max(1, prompt - cached + request.resumePosition());
    prefillStartMicros = nowMicros;
    prefillEndMicros = nowMicros + scaledBySlowFactor(settings.prefillMicros(prefillTokens));
  }

  private void abandonPrefill(long nowMicros) {
    long elapsed = Math.max(0, nowMicros - prefillStartMicros);
    long total = Math.max(1, prefillEndMicros - prefillStartMicros);
    statistics.prefilledTokens += prefillTokens * Math.min(elapsed, total) / total;
    prefilling = null;
    prefillEndMicros = NEVER;
    beginPrefill(nowMicros);
  }

  private void endPrefill(long atMicros, EngineListener listener) {
    Generation generation = prefilling;
    prefilling = null;
    prefillEndMicros = NEVER;
    statistics.prefilledTokens += prefillTokens;
    EngineRequest request = generation.request;
    statistics.recordComputed(
        request.keys().subList(generation.cachedBlocks, request.keys().size()));
    cache.store(request.identity(), request.keys(), atMicros);
    listener.prefilled(request.id(), generation.cachedBlocks, atMicros);
    decoding.add(generation);
    if (stepEndMicros == NEVER) {
      beginStep(atMicros);
    }
    emit(generation, atMicros, listener);
    beginPrefill(atMicros);
  }

  private void beginStep(long nowMicros) {
    stepEndMicros =
        decoding.isEmpty()
            ? NEVER
            : nowMicros + scaledBySlowFactor(settings.decodeMicros(decoding.size()));
  }

  private void endStep(long atMicros, EngineListener listener) {
    for (Generation generation : List.copyOf(decoding)) {
      emit(generation, atMicros, listener);
    }
    beginStep(atMicros);
  }

  private void emit(Generation generation, long atMicros, EngineListener listener) {
    if (generation.isPaused) {
      return;
    }
    String id = generation.request.id();
    if (!generation.isComplete()) {
      int position = generation.position++;
      statistics.decodedTokens++;
      listener.token(id, position, generation.answer.token(position), atMicros);
    }
    if (generation.isComplete()) {
      generations.remove(id, generation);
      decoding.remove(generation);
      statistics.ended++;
      load.record(generations.size(), atMicros);
      listener.ended(
          id, generation.position, generation.finishReason(), generation.cachedBlocks, atMicros);
    }
  }

  /**
   * Crashes the engine: every stream is lost, and the engine restarts empty after its restart time.
   */
  public void crash(long nowMicros, EngineListener listener) {
    List<String> ids = List.copyOf(generations.keySet());
    generations.clear();
    waiting.clear();
    decoding.clear();
    prefilling = null;
    prefillEndMicros = NEVER;
    stepEndMicros = NEVER;
    crashMicros = NEVER;
    versions.abandonLoad();
    statistics.crashes++;
    statistics.lost += ids.size();
    restartMicros = nowMicros + settings.restartMicros();
    load.record(0, nowMicros);
    ids.forEach(id -> listener.lost(id, nowMicros));
  }

  private void restart() {
    restartMicros = NEVER;
    incarnation++;
    startEmpty();
  }

  private void startEmpty() {
    versions = new LoadedVersions(initialVersions, settings.checksFencing());
    feed = new CacheFeed(settings.publishDelayMicros());
    cache = new BlockCache(settings.cacheBlocks(), feed);
  }

  private long scaledBySlowFactor(long microseconds) {
    return Math.round(microseconds * slowFactor);
  }

  /** Returns whether the engine has crashed and not yet restarted. */
  public boolean isDown() {
    return restartMicros != NEVER;
  }

  /** Multiplies the duration of each prefill and decode step that starts from now on. */
  public void setSlowFactor(double factor) {
    slowFactor = factor;
  }

  /** Sets whether the engine reports that it is leaving. */
  public void setLeaving(boolean leaving) {
    isLeaving = leaving;
  }

  /** Returns whether the engine reports that it is leaving. */
  public boolean isLeaving() {
    return isLeaving;
  }

  /**
   * Handles an order to load a version. On {@link OrderResult#FETCH_WEIGHTS} the caller must fetch
   * the weights and then call {@link #finishLoad}.
   */
  public OrderResult orderLoad(long fencing, ModelVersion version) {
    return versions.load(fencing, version);
  }

  /** Handles an order to unload a version and evicts its blocks. Running streams continue. */
  public OrderResult orderUnload(long fencing, ModelVersion version, long nowMicros) {
    OrderResult result = versions.unload(fencing, version);
    if (result == OrderResult.TAKEN) {
      cache.evictIf(identity -> identity.modelVersion().equals(version), nowMicros);
    }
    return result;
  }

  /**
   * Handles an order to change the role. Running streams continue. A restart resets the role to
   * {@code MIXED}.
   */
  public OrderResult orderRole(long fencing, EngineRole role) {
    return versions.setRole(fencing, role);
  }

  /** Returns the current role. */
  public EngineRole role() {
    return versions.role();
  }

  /** Completes the load of a version, or gives it up if its weights could not be fetched. */
  public void finishLoad(ModelVersion version, boolean hasWeights) {
    versions.finishLoad(version, hasWeights);
  }

  /** Returns the version that is being loaded, if any. */
  public Optional<ModelVersion> loading() {
    return versions.loading();
  }

  /** Returns the keys of the given blocks that are cached under the identity. */
  public List<BlockKey> exportBlocks(CacheIdentity identity, List<BlockKey> keys) {
    return keys.stream().filter(key -> cache.contains(identity, key)).toList();
  }

  /** Caches blocks computed elsewhere if their version is loaded; returns the cached keys. */
  public List<BlockKey> importBlocks(CacheIdentity identity, List<BlockKey> keys, long nowMicros) {
    if (isDown() || !versions.isLoaded(identity.modelVersion())) {
      return List.of();
    }
    cache.store(identity, keys, nowMicros);
    return keys;
  }

  /** Omits the next changes of the cache from the published feed. */
  public void omitCacheChanges(long count) {
    feed.omitChanges(count);
  }

  /** Returns the published changes of the cache from a sequence number on. */
  public CacheFeedPage cacheChanges(long fromSequence, long nowMicros) {
    return feed.read(fromSequence, nowMicros);
  }

  /**
   * Returns the sequence number of the first change that is not reflected in {@link #cachedKeys}.
   */
  public long nextCacheSequence() {
    return feed.nextSequence();
  }

  /** Returns the keys of all cached blocks. */
  public List<BlockKey> cachedKeys() {
    return cache.keys();
  }

  /** Returns how many leading blocks of a chain are cached, without updating their recency. */
  public int matchedBlocks(CacheIdentity identity, List<BlockKey> keys) {
    return cache.matchedBlocks(identity, keys);
  }

  /** Returns the incarnation identifier, which changes at each restart. */
  public String incarnation() {
    return name + "-" + incarnation;
  }

  /** Returns the loaded versions. */
  public List<ModelVersion> loaded() {
    return versions.loaded();
  }

  /** Returns the number of streams that the engine reports, which lags behind {@link #running}. */
  public int reportedRunning(long nowMicros) {
    return load.reportedAt(nowMicros);
  }

  /** Returns the current number of streams, queued ones included. */
  public int running() {
    return generations.size();
  }

  /** Returns the greatest fencing token received, or -1 if the engine ignores fencing tokens. */
  public long lastFencing() {
    return versions.lastFencing();
  }

  /** Returns the settings. */
  public EngineSettings settings() {
    return settings;
  }

  /** Returns a snapshot of the engine's counters. */
  public EngineCounters counters() {
    return statistics.counters();
  }

  /** Returns how many times each block was prefilled. */
  public Map<BlockKey, Integer> computedBlocks() {
    return statistics.computedBlocks();
  }
}

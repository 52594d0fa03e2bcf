package org.shallothook.standins.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.standins.cache.BlockCache;
import org.shallothook.standins.cache.CacheFeed;
import org.shallothook.standins.cache.CacheFeedPage;
import org.shallothook.standins.fault.Disturbances;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.EngineRole;

/**
 * A model engine in virtual time: prompts are computed one at a time, the streams of the batch
 * decode together, and prompt prefixes are cached.
 *
 * <pre>{@code
 * EngineModel engine = new EngineModel("engine-1", EngineSettings.DEFAULT, versions);
 * engine.advanceTo(nowMicros, listener);
 * engine.start(request, nowMicros);
 * long next = engine.nextEventMicros();
 * }</pre>
 *
 * <p>Invariant: the same calls at the same times give the same events. Hosts call {@link
 * #advanceTo} with the current time before any other method. Not thread-safe.
 */
public final class EngineModel {
  /** Time of an event that is not due. */
  public static final long NEVER = Long.MAX_VALUE;

  private final String name;
  private final EngineSettings settings;
  private final List<ModelVersion> firstVersions;
  private LoadedVersions versions;
  private final LaggingLoad load;
  private final Disturbances disturbances = new Disturbances();
  private final Map<String, Generation> generations = new LinkedHashMap<>();
  private final List<Generation> waiting = new ArrayList<>();
  private final List<Generation> decoding = new ArrayList<>();
  private final EngineTally tally = new EngineTally();
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
  private long orderSequence;
  private double slowFactor = 1;
  private boolean isLeaving;

  /**
   * Creates an engine with an empty cache.
   *
   * @param name name that begins its incarnations
   * @param settings settings
   * @param loaded model versions loaded at the start and after each restart
   */
  public EngineModel(String name, EngineSettings settings, List<ModelVersion> loaded) {
    this.name = name;
    this.settings = settings;
    this.firstVersions = List.copyOf(loaded);
    this.load = new LaggingLoad(settings.loadLagMicros());
    startEmpty();
  }

  /** Returns faults of the engine's address. */
  public Disturbances disturbances() {
    return disturbances;
  }

  /** Begins an answer. An earlier one of the same identifier is cancelled. */
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
    Generation generation = new Generation(request, orderSequence++, settings);
    generations.put(request.id(), generation);
    waiting.add(generation);
    tally.started++;
    load.record(generations.size(), nowMicros);
    beginPrefill(nowMicros);
    return StartResult.STARTED;
  }

  /** Cancels an answer and returns whether it was running. */
  public boolean cancel(String id, long nowMicros) {
    Generation generation = generations.remove(id);
    if (generation == null) {
      return false;
    }
    tally.cancelled++;
    load.record(generations.size(), nowMicros);
    waiting.remove(generation);
    decoding.remove(generation);
    if (prefilling == generation) {
      abandonPrefill(nowMicros);
    }
    return true;
  }

  /** Stops or restarts the tokens of a stream whose reader is slow. */
  public void setPaused(String id, boolean isPaused) {
    Generation generation = generations.get(id);
    if (generation != null) {
      generation.isPaused = isPaused;
    }
  }

  /** Carries out everything that is due up to a time. */
  public void advanceTo(long nowMicros, EngineListener listener) {
    long due = nextEventMicros();
    while (due <= nowMicros) {
      carryOutNext(due, listener);
      due = nextEventMicros();
    }
  }

  /** Returns when the next event is due, or {@link #NEVER}. */
  public long nextEventMicros() {
    long due =
        Math.min(Math.min(prefillEndMicros, stepEndMicros), Math.min(crashMicros, restartMicros));
    return due == NEVER ? NEVER : disturbances.resumedAtMicros(due);
  }

  private void carryOutNext(long atMicros, EngineListener listener) {
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
      next = candidate.goesBefore(next) ? candidate : next;
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
    tally.cachedTokens += Math.min(cached, prompt);
    prefillTokens = Math.max(1, prompt - cached + request.resumePosition());
    prefillStartMicros = nowMicros;
    prefillEndMicros = nowMicros + scaled(settings.prefillMicros(prefillTokens));
  }

  private void abandonPrefill(long nowMicros) {
    long elapsed = Math.max(0, nowMicros - prefillStartMicros);
    long total = Math.max(1, prefillEndMicros - prefillStartMicros);
    tally.prefilledTokens += prefillTokens * Math.min(elapsed, total) / total;
    prefilling = null;
    prefillEndMicros = NEVER;
    beginPrefill(nowMicros);
  }

  private void endPrefill(long atMicros, EngineListener listener) {
    Generation generation = prefilling;
    prefilling = null;
    prefillEndMicros = NEVER;
    tally.prefilledTokens += prefillTokens;
    EngineRequest request = generation.request;
    tally.computed(request.keys().subList(generation.cachedBlocks, request.keys().size()));
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
        decoding.isEmpty() ? NEVER : nowMicros + scaled(settings.decodeMicros(decoding.size()));
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
      tally.decodedTokens++;
      listener.token(id, position, generation.answer.token(position), atMicros);
    }
    if (generation.isComplete()) {
      generations.remove(id, generation);
      decoding.remove(generation);
      tally.ended++;
      load.record(generations.size(), atMicros);
      listener.ended(
          id, generation.position, generation.finishReason(), generation.cachedBlocks, atMicros);
    }
  }

  /** Ends every stream without its answer; the engine comes back empty after its restart time. */
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
    tally.crashes++;
    tally.lost += ids.size();
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
    versions = new LoadedVersions(firstVersions, settings.checksFencing());
    feed = new CacheFeed(settings.publishDelayMicros());
    cache = new BlockCache(settings.cacheBlocks(), feed);
  }

  private long scaled(long microseconds) {
    return Math.round(microseconds * slowFactor);
  }

  /** Returns whether the engine has crashed and not yet restarted. */
  public boolean isDown() {
    return restartMicros != NEVER;
  }

  /** Makes everything that begins from now on take that many times as long. */
  public void setSlowFactor(double factor) {
    slowFactor = factor;
  }

  /** Sets whether the engine says that it is leaving. */
  public void setLeaving(boolean leaving) {
    isLeaving = leaving;
  }

  /** Returns whether the engine says that it is leaving. */
  public boolean isLeaving() {
    return isLeaving;
  }

  /** Takes an order to load a version; {@link OrderResult#FETCH_WEIGHTS} asks for its weights. */
  public OrderResult orderLoad(long fencing, ModelVersion version) {
    return versions.load(fencing, version);
  }

  /** Takes an order to unload a version, whose blocks are evicted. Running streams go on. */
  public OrderResult orderUnload(long fencing, ModelVersion version, long nowMicros) {
    OrderResult result = versions.unload(fencing, version);
    if (result == OrderResult.TAKEN) {
      cache.evictIf(identity -> identity.modelVersion().equals(version), nowMicros);
    }
    return result;
  }

  /** Takes an order to take a role. Running streams go on; a restart brings back {@code MIXED}. */
  public OrderResult orderRole(long fencing, EngineRole role) {
    return versions.takeRole(fencing, role);
  }

  /** Returns the role. */
  public EngineRole role() {
    return versions.role();
  }

  /** Ends the load of a version, with its weights or without. */
  public void finishLoad(ModelVersion version, boolean hasWeights) {
    versions.finishLoad(version, hasWeights);
  }

  /** Returns the version being loaded. */
  public Optional<ModelVersion> loading() {
    return versions.loading();
  }

  /** Returns those of the blocks that are cached under the identity. */
  public List<BlockKey> exportBlocks(CacheIdentity identity, List<BlockKey> keys) {
    return keys.stream().filter(key -> cache.contains(identity, key)).toList();
  }

  /** Stores blocks that were computed elsewhere, if their version is loaded, and returns them. */
  public List<BlockKey> importBlocks(CacheIdentity identity, List<BlockKey> keys, long nowMicros) {
    if (isDown() || !versions.isLoaded(identity.modelVersion())) {
      return List.of();
    }
    cache.store(identity, keys, nowMicros);
    return keys;
  }

  /** Loses the next changes of the cache from the published ones. */
  public void loseCacheChanges(long count) {
    feed.loseChanges(count);
  }

  /** Returns published changes of the cache. */
  public CacheFeedPage cacheChanges(long fromSequence, long nowMicros) {
    return feed.read(fromSequence, nowMicros);
  }

  /** Returns the sequence number of the first change that {@link #cachedKeys} does not cover. */
  public long nextCacheSequence() {
    return feed.nextSequence();
  }

  /** Returns the keys of all cached blocks. */
  public List<BlockKey> cachedKeys() {
    return cache.keys();
  }

  /** Returns how many leading blocks of a chain are cached, without marking them as used. */
  public int matchedBlocks(CacheIdentity identity, List<BlockKey> keys) {
    return cache.matchedBlocks(identity, keys);
  }

  /** Returns the incarnation, new after each restart. */
  public String incarnation() {
    return name + "-" + incarnation;
  }

  /** Returns the versions loaded. */
  public List<ModelVersion> loaded() {
    return versions.loaded();
  }

  /** Returns the number of streams as reported, which is late. */
  public int reportedRunning(long nowMicros) {
    return load.shownAt(nowMicros);
  }

  /** Returns the number of streams that run now. */
  public int running() {
    return generations.size();
  }

  /** Returns the greatest fencing number seen, or -1 where they are ignored. */
  public long lastFencing() {
    return versions.lastFencing();
  }

  /** Returns the settings. */
  public EngineSettings settings() {
    return settings;
  }

  /** Returns what the engine has done so far. */
  public EngineCounters counters() {
    return tally.counters();
  }

  /** Returns how often each block was computed. */
  public Map<BlockKey, Integer> computedBlocks() {
    return tally.computedBlocks();
  }
}

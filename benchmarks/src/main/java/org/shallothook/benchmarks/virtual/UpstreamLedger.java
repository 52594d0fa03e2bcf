package org.shallothook.benchmarks.virtual;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntBiFunction;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.standins.engine.AnswerText;
import org.shallothook.standins.engine.EngineSettings;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.request.RequestId;

/**
 * What the upstreams of a fleet have executed.
 *
 * <p>Not thread-safe.
 */
public final class UpstreamLedger {
  private static final int OK = 200;

  private final ToIntBiFunction<String, SidecarCommand.StartAnswer> matchedElsewhere;
  private final Map<RequestId, List<Execution>> executions = new HashMap<>();
  private final Map<RequestId, List<ExpectedAnswer>> answers = new HashMap<>();
  private final Map<String, Integer> serviceRuns = new LinkedHashMap<>();
  private final Map<String, Pending> pending = new HashMap<>();
  private final List<PromptChain> chains = new ArrayList<>();
  private final List<PromptSample> samples = new ArrayList<>();

  /**
   * Creates an empty ledger.
   *
   * @param matchedElsewhere leading blocks of a chain that others than the named engine have
   */
  UpstreamLedger(ToIntBiFunction<String, SidecarCommand.StartAnswer> matchedElsewhere) {
    this.matchedElsewhere = matchedElsewhere;
  }

  /** Returns the starts of a request's attempts at any upstream, in order. */
  public List<Execution> executions(RequestId request) {
    return Collections.unmodifiableList(executions.getOrDefault(request, List.of()));
  }

  /** Returns the answers that engines give to a request's prompt, one for each model version. */
  public List<ExpectedAnswer> answers(RequestId request) {
    return Collections.unmodifiableList(answers.getOrDefault(request, List.of()));
  }

  /** Returns how often services carried out a call with an idempotency key. */
  public int serviceRuns(String idempotencyKey) {
    return serviceRuns.getOrDefault(idempotencyKey, 0);
  }

  /** Returns how often services carried out calls, by idempotency key. */
  public Map<String, Integer> serviceRuns() {
    return Collections.unmodifiableMap(serviceRuns);
  }

  /** Returns every prompt computed, in order. */
  public List<PromptSample> samples() {
    return Collections.unmodifiableList(samples);
  }

  /** Returns the prompt of every request that reached an engine, in order. */
  public List<PromptChain> chains() {
    return Collections.unmodifiableList(chains);
  }

  void started(
      String engine, SidecarCommand.StartAnswer start, EngineSettings settings, long startMicros) {
    RequestId request = start.attempt().request();
    if (!executions.containsKey(request)) {
      long promptTokens = settings.promptTokens(start.prompt());
      chains.add(new PromptChain(start.identity(), start.keys(), promptTokens, startMicros));
    }
    executions
        .computeIfAbsent(request, unused -> new ArrayList<>())
        .add(new Execution(start.attempt(), engine, startMicros));
    ExpectedAnswer answer = ExpectedAnswer.of(start, settings);
    List<ExpectedAnswer> known = answers.computeIfAbsent(request, unused -> new ArrayList<>());
    if (known.stream().noneMatch(other -> other.modelVersion().equals(answer.modelVersion()))) {
      known.add(answer);
    }
    pending.put(
        engine + "/" + start.attempt(),
        new Pending(start, settings, matchedElsewhere.applyAsInt(engine, start)));
  }

  void prefilled(String engine, String attempt, int cachedBlocks, long atMicros) {
    Pending start = pending.remove(engine + "/" + attempt);
    if (start == null) {
      return;
    }
    long blockTokens = start.settings.blockTokens();
    long promptTokens = start.settings.promptTokens(start.command.prompt());
    long wasted = Math.max(0, start.matchedElsewhere - cachedBlocks) * blockTokens;
    samples.add(
        new PromptSample(
            start.command.attempt(),
            engine,
            atMicros,
            promptTokens,
            cachedBlocks * blockTokens,
            wasted));
  }

  void called(String service, SidecarCommand.CallService call, int status, long calledMicros) {
    if (status != OK) {
      return;
    }
    executions
        .computeIfAbsent(call.attempt().request(), unused -> new ArrayList<>())
        .add(new Execution(call.attempt(), service, calledMicros));
    serviceRuns.merge(call.idempotencyKey().orElse(""), 1, Integer::sum);
  }

  private record Pending(
      SidecarCommand.StartAnswer command, EngineSettings settings, int matchedElsewhere) {}

  /**
   * The answer that engines of one model version give.
   *
   * @param modelVersion model version
   * @param answer its whole answer
   * @param tokens tokens of it that the request allows
   */
  public record ExpectedAnswer(ModelVersion modelVersion, AnswerText answer, int tokens) {
    static ExpectedAnswer of(SidecarCommand.StartAnswer start, EngineSettings settings) {
      AnswerText answer = AnswerText.of(start.identity().modelVersion(), start.prompt(), settings);
      return new ExpectedAnswer(
          start.identity().modelVersion(),
          answer,
          Math.min(answer.length(), start.maximumOutputTokens()));
    }
  }
}

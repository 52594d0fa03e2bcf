package org.shallothook.transport.logging;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The decision log lines of one request, collected from the logs of all processes, with the lines
 * on the known state that its decisions were based on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param steps lines of the request, by time
 * @param relatedDecisions lines on the configuration, servers and dependencies that may have
 *     influenced the request, by time
 * @param outcome how the request ended
 */
public record RequestTrace(
    List<DecisionLine> steps, List<DecisionLine> relatedDecisions, TraceOutcome outcome) {
  /** Time before and after a request within which events of its servers are related to it. */
  private static final Duration RELATED_TIME = Duration.ofSeconds(3);

  private static final Set<String> SERVER_DECISIONS =
      Set.of("server", "order", "dependency", "crash", "pace");
  private static final String LIMIT = "limit";
  private static final Set<String> CONFIGURATION_DECISIONS = Set.of("configuration", "weights");

  public RequestTrace {
    steps = List.copyOf(steps);
    relatedDecisions = List.copyOf(relatedDecisions);
  }

  /**
   * Finds a request.
   *
   * @param request id of the request, as its caller sent or received it
   * @param lines lines of all logs in any order
   * @return the trace; empty if no line is about the request
   */
  public static Optional<RequestTrace> find(String request, Collection<DecisionLine> lines) {
    List<DecisionLine> steps =
        sortedByTime(
            lines.stream()
                .filter(line -> line.subject().equals(request))
                .filter(line -> !SERVER_DECISIONS.contains(line.decision()))
                .filter(line -> !line.decision().equals(LIMIT)));
    if (steps.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new RequestTrace(steps, relatedDecisions(steps, lines), TraceOutcome.of(steps)));
  }

  private static List<DecisionLine> relatedDecisions(
      List<DecisionLine> steps, Collection<DecisionLine> lines) {
    Set<String> servers = serversOf(steps, lines);
    Stream<DecisionLine> ofServers =
        lines.stream()
            .filter(line -> SERVER_DECISIONS.contains(line.decision()))
            .filter(line -> servers.isEmpty() || servers.contains(line.subject()))
            .filter(line -> isWithinRelatedTime(line, steps));
    Stream<DecisionLine> limits =
        lines.stream()
            .filter(line -> line.decision().equals(LIMIT))
            .filter(line -> servers.isEmpty() || servers.contains(line.subject()));
    Stream<DecisionLine> configurations =
        lines.stream().filter(line -> CONFIGURATION_DECISIONS.contains(line.decision()));
    Stream<DecisionLine> known =
        Stream.concat(
            latestBefore(steps.get(0), configurations, DecisionLine::decision),
            latestBefore(steps.get(steps.size() - 1), limits, DecisionLine::subject));
    return sortedByTime(Stream.concat(known, ofServers));
  }

  /** Returns the latest line of each kind that a step's process wrote up to the step. */
  private static Stream<DecisionLine> latestBefore(
      DecisionLine step, Stream<DecisionLine> lines, Function<DecisionLine, String> kind) {
    return lines
        .filter(line -> line.process().equals(step.process()))
        .filter(line -> !line.time().isAfter(step.time()))
        .collect(
            Collectors.toMap(
                kind, line -> line, BinaryOperator.maxBy(Comparator.comparing(DecisionLine::time))))
        .values()
        .stream();
  }

  /** Returns names and addresses of the servers that the request was sent to; may be empty. */
  private static Set<String> serversOf(List<DecisionLine> steps, Collection<DecisionLine> lines) {
    Set<String> names = new HashSet<>();
    steps.stream().map(step -> step.field("server")).forEach(names::add);
    names.remove("");
    Set<String> all = new HashSet<>(names);
    lines.stream()
        .filter(line -> line.decision().equals("server") && names.contains(line.subject()))
        .map(line -> line.field("address"))
        .filter(address -> !address.isEmpty())
        .forEach(all::add);
    return all;
  }

  private static boolean isWithinRelatedTime(DecisionLine line, List<DecisionLine> steps) {
    return !line.time().isBefore(steps.get(0).time().minus(RELATED_TIME))
        && !line.time().isAfter(steps.get(steps.size() - 1).time().plus(RELATED_TIME));
  }

  private static List<DecisionLine> sortedByTime(Stream<DecisionLine> lines) {
    return lines.sorted(Comparator.comparing(DecisionLine::time)).toList();
  }

  /** Returns the trace in human-readable form. */
  public String text() {
    StringBuilder text = new StringBuilder();
    text.append(outcome.explain(steps)).append("\n\nRequest:\n");
    steps.forEach(step -> text.append("  ").append(step.text()).append('\n'));
    text.append("\nKnown state and dependencies:\n");
    relatedDecisions.forEach(line -> text.append("  ").append(line.text()).append('\n'));
    return text.toString();
  }
}

package org.shallothook.transport.logging;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What the logs of all processes tell of one request: its own lines in order, and the beliefs that
 * stood behind them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param steps lines of the request
 * @param beliefs lines on the configuration, servers and dependencies that bear on it
 * @param end how it ended
 */
public record RequestTrace(List<DecisionLine> steps, List<DecisionLine> beliefs, TraceOutcome end) {
  /** Time around a request in which what happened to its servers bears on it. */
  private static final Duration NEIGHBOURHOOD = Duration.ofSeconds(3);

  private static final Set<String> OF_SERVERS = Set.of("server", "order", "dependency", "crash");
  private static final Set<String> OF_CONFIGURATION = Set.of("configuration", "weights");

  public RequestTrace {
    steps = List.copyOf(steps);
    beliefs = List.copyOf(beliefs);
  }

  /**
   * Finds a request.
   *
   * @param request its id, as its caller knows it
   * @param lines lines of all logs in any order
   * @return the story; empty where no line names the request
   */
  public static Optional<RequestTrace> find(String request, Collection<DecisionLine> lines) {
    List<DecisionLine> steps =
        inOrder(
            lines.stream()
                .filter(line -> line.subject().equals(request))
                .filter(line -> !OF_SERVERS.contains(line.decision())));
    if (steps.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new RequestTrace(steps, beliefs(steps, lines), TraceOutcome.of(steps)));
  }

  private static List<DecisionLine> beliefs(
      List<DecisionLine> steps, Collection<DecisionLine> lines) {
    Set<String> servers = servers(steps, lines);
    Stream<DecisionLine> ofServers =
        lines.stream()
            .filter(line -> OF_SERVERS.contains(line.decision()))
            .filter(line -> servers.isEmpty() || servers.contains(line.subject()))
            .filter(line -> isNear(line, steps));
    return inOrder(Stream.concat(configurations(steps.get(0), lines), ofServers));
  }

  /** Returns the servers that the request met, with their addresses; empty if it met none. */
  private static Set<String> servers(List<DecisionLine> steps, Collection<DecisionLine> lines) {
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

  /** Returns the newest line of each kind that the process had written before the request. */
  private static Stream<DecisionLine> configurations(
      DecisionLine first, Collection<DecisionLine> lines) {
    return OF_CONFIGURATION.stream()
        .flatMap(
            kind ->
                lines.stream()
                    .filter(line -> line.decision().equals(kind))
                    .filter(line -> line.process().equals(first.process()))
                    .filter(line -> !line.time().isAfter(first.time()))
                    .max(Comparator.comparing(DecisionLine::time))
                    .stream());
  }

  private static boolean isNear(DecisionLine line, List<DecisionLine> steps) {
    return !line.time().isBefore(steps.get(0).time().minus(NEIGHBOURHOOD))
        && !line.time().isAfter(steps.get(steps.size() - 1).time().plus(NEIGHBOURHOOD));
  }

  private static List<DecisionLine> inOrder(Stream<DecisionLine> lines) {
    return lines.sorted(Comparator.comparing(DecisionLine::time)).toList();
  }

  /** Returns the story in the form shown to people. */
  public String text() {
    StringBuilder text = new StringBuilder();
    text.append(end.explain(steps)).append("\n\nRequest:\n");
    steps.forEach(step -> text.append("  ").append(step.text()).append('\n'));
    text.append("\nBeliefs and dependencies:\n");
    beliefs.forEach(belief -> text.append("  ").append(belief.text()).append('\n'));
    return text.toString();
  }
}

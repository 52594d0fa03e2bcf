package org.shallothook.benchmarks.matrix;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Result of the whole matrix as a Markdown page, with a row for each fault and a column for each
 * step.
 *
 * <p>Immutable and thread-safe once {@link #run} has returned.
 */
final class MatrixTable {
  private final Map<Fault, Map<Step, Boolean>> singles = new EnumMap<>(Fault.class);
  private final Map<Fault, Boolean> fullQueues = new EnumMap<>(Fault.class);
  private final Map<RegionPartitionScenario.Side, Boolean> partitioned =
      new EnumMap<>(RegionPartitionScenario.Side.class);
  private final Map<String, List<String>> red = new LinkedHashMap<>();
  private int repeated;
  private int repeatedHeld;
  private int pairs;
  private int pairsHeld;

  private MatrixTable() {}

  /** Runs every cell and returns the results. */
  static MatrixTable run() {
    MatrixTable table = new MatrixTable();
    for (FaultInjection single : FaultMatrix.singles()) {
      boolean isHeld = table.holds(List.of(single));
      table.singles.computeIfAbsent(single.fault(), fault -> new EnumMap<>(Step.class));
      table.singles.get(single.fault()).put(single.step(), isHeld);
      table.repeated++;
      table.repeatedHeld += table.holds(FaultMatrix.repeated(single)) ? 1 : 0;
    }
    for (Fault fault : Fault.values()) {
      table.fullQueues.put(fault, table.holdsUnderFullQueues(FaultMatrix.underFullQueues(fault)));
    }
    for (RegionPartitionScenario.Side side : RegionPartitionScenario.Side.values()) {
      table.partitioned.put(side, table.holdsUnderPartition(side));
    }
    for (List<FaultInjection> pair : FaultMatrix.pairs()) {
      table.pairs++;
      table.pairsHeld += table.holds(pair) ? 1 : 0;
    }
    return table;
  }

  /** Returns the names of the cells that failed. */
  List<String> redCells() {
    return List.copyOf(red.keySet());
  }

  /** Returns the page as Markdown. */
  String markdown() {
    StringBuilder page = new StringBuilder(heading());
    page.append("| fault |");
    for (Step step : Step.values()) {
      page.append(' ').append(step.title()).append(" |");
    }
    page.append(" full queues |\n|---|");
    page.append("---|".repeat(Step.values().length + 1)).append('\n');
    List<String> reasons = new ArrayList<>();
    for (Fault fault : Fault.values()) {
      page.append("| ").append(fault.title()).append(" |");
      for (Step step : Step.values()) {
        page.append(' ').append(cell(fault, step, reasons)).append(" |");
      }
      page.append(' ').append(verdict(fullQueues.get(fault))).append(" |\n");
    }
    page.append('\n');
    partitioned.forEach(
        (side, isHeld) ->
            page.append("- regions parted for 3 minutes, the log reachable from the ")
                .append(side.title() + " alone: " + verdict(isHeld) + '\n'));
    reasons.forEach(reason -> page.append("- not applicable: ").append(reason).append('\n'));
    page.append("- each fault twice in a row: ")
        .append(repeatedHeld + " of " + repeated + " held\n");
    page.append("- every pair of faults, at two pairs of steps: ")
        .append(pairsHeld + " of " + pairs + " held\n");
    appendRed(page);
    return page.toString();
  }

  private static String heading() {
    return """
        # Fault matrix

        Written by `bin/matrix`. Every cell runs the real decisions of 3 routers, 6 engine sidecars
        and 3 service sidecars in virtual time, injects the fault when the step first occurs, and
        checks: every caller gets a final answer; streams are whole and in order; "not run" is true;
        a non-idempotent call runs at most once and repeats get the same answer; configuration never
        goes back and an accepted change is in force everywhere at the end; a leaving upstream gets
        no new work after 3 s. Once the faults are over: chats are served, by the weights in
        force, a priority team's with the first token within 460 ms; then all routers restart at
        once, and chats a second later are served as fast and from the cache. (No first token is
        timed where an engine stays slow, since it may by itself be slower than that.)

        Full queues: ordinary chats come five times as fast as they can be served and are refused
        because every queue is full; the fault strikes as one is queued, and a priority team calls
        20 times in the 2 s after it. Each call of it must have its first token within 460 ms, but
        for those whose own router is lost, beside all that is checked in the other cells.

        Parted regions: 4 routers, 8 engines and 4 services in two regions of two failure domains.
        Everything between the regions is lost both ways at the virtual network, one region cannot
        reach the platform, and chats and bookings go on in both; sockets and routes are not cut.
        Checked after it: all of the above, each booking answered, and the configuration in force
        everywhere 8 s after the regions meet.

        Not a cell, and why: cold starts at 80 % load need more load than a scene has, and are
        measured by `bin/bench`; loads at once are counted by `EngineOrdersTest` and
        `AgreementProcessTest`.

        """;
  }

  private String cell(Fault fault, Step step, List<String> reasons) {
    Optional<String> reason = fault.notApplicable(step);
    if (reason.isPresent()) {
      reasons.add(fault.title() + " at " + step.title() + ": " + reason.get());
      return "n/a";
    }
    return verdict(singles.get(fault).get(step));
  }

  private static String verdict(boolean isHeld) {
    return isHeld ? "held" : "**red**";
  }

  private void appendRed(StringBuilder page) {
    if (red.isEmpty()) {
      page.append("\nNo cell is red.\n");
      return;
    }
    page.append("\n## Red cells\n\n");
    red.forEach(
        (name, violations) ->
            page.append("- ").append(name).append(": ").append(violations.get(0)).append('\n'));
  }

  private boolean holds(List<FaultInjection> injections) {
    return recordResult(injections.toString(), new Scenario(injections, FaultMatrix.SEED).run());
  }

  private boolean holdsUnderFullQueues(List<FaultInjection> injections) {
    return recordResult(
        "full queues, " + injections, Scenario.overloaded(injections, FaultMatrix.SEED).run());
  }

  private boolean holdsUnderPartition(RegionPartitionScenario.Side side) {
    List<String> violations = new RegionPartitionScenario(side, FaultMatrix.SEED).run();
    return recordResult(
        "parted, log at the " + side.title(), new ScenarioResult(violations, Set.of()));
  }

  private boolean recordResult(String name, ScenarioResult result) {
    if (!result.isHeld()) {
      List<String> found = new ArrayList<>(result.violations());
      result.pending().forEach(injection -> found.add("did not strike: " + injection));
      red.put(name, found);
    }
    return result.isHeld();
  }
}

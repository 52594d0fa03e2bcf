package org.shallothook.benchmarks.bench;

import java.util.List;
import java.util.Locale;
import org.shallothook.benchmarks.measure.Measure;

/** Measures as text for people. Stateless and thread-safe. */
final class BenchTable {
  private BenchTable() {}

  /** Returns one measure with its baselines below it. */
  static String rowsOf(Measure measure, KnownRedMeasures known) {
    StringBuilder rows = new StringBuilder();
    rows.append(
        String.format(
            Locale.ROOT,
            "%-9s %-42s %-13s %12.3f  bound %-12s %s%n",
            verdict(measure, known),
            measure.name(),
            KnownRedMeasures.deploymentOf(measure),
            measure.figure(),
            measure.bound(),
            measure.unit()));
    measure
        .baselines()
        .forEach(
            (name, figure) ->
                rows.append(String.format(Locale.ROOT, "%-9s   %-54s %12.3f%n", "", name, figure)));
    return rows.toString();
  }

  private static String verdict(Measure measure, KnownRedMeasures known) {
    if (measure.isHeld()) {
      return known.isListed(measure) ? "HELD-NOW" : "held";
    }
    return known.isListed(measure) ? "KNOWN-RED" : "MISSED";
  }

  /** Returns the figures of another build beside those of this one. */
  static String comparison(List<MeasuresJson.Entry> old, List<Measure> measures) {
    StringBuilder rows = new StringBuilder("\nCompared with the other build:\n");
    for (Measure measure : measures) {
      String name = KnownRedMeasures.nameOf(measure);
      String before =
          old.stream()
              .filter(entry -> name.equals(entry.name() + " " + entry.deployment()))
              .map(entry -> change(entry.figure(), measure.figure()))
              .findFirst()
              .orElse("new");
      rows.append(String.format(Locale.ROOT, "%-56s %s%n", name, before));
    }
    return rows.toString();
  }

  private static String change(double before, double after) {
    double percent = before == 0 ? 0 : 100 * (after - before) / before;
    return String.format(Locale.ROOT, "%12.3f -> %12.3f  %+.1f %%", before, after, percent);
  }
}

package org.shallothook.benchmarks.bench;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
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

  /** Returns the figures of another build beside those of this one, and those of one alone. */
  static String comparison(List<MeasuresJson.Entry> old, List<Measure> measures) {
    Map<String, Double> before = new LinkedHashMap<>();
    old.forEach(entry -> before.put(entry.name() + " " + entry.deployment(), entry.figure()));
    StringBuilder rows = new StringBuilder("\nCompared with the other build:\n");
    for (Measure measure : measures) {
      String name = KnownRedMeasures.nameOf(measure);
      Double figure = before.remove(name);
      rows.append(row(name, figure == null ? "new" : change(figure, measure.figure())));
    }
    before.forEach(
        (name, figure) ->
            rows.append(
                row(
                    name,
                    String.format(Locale.ROOT, "not in this run, %.3f in the other", figure))));
    return rows.toString();
  }

  private static String row(String name, String text) {
    return String.format(Locale.ROOT, "%-56s %s%n", name, text);
  }

  private static String change(double before, double after) {
    String figures = String.format(Locale.ROOT, "%12.3f -> %12.3f  ", before, after);
    if (Double.compare(before, after) == 0) {
      return figures + "same";
    }
    if (before == 0) {
      return figures + "from 0";
    }
    return figures + String.format(Locale.ROOT, "%+.1f %%", 100 * (after - before) / before);
  }
}

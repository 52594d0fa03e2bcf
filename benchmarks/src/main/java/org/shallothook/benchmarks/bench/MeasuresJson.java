package org.shallothook.benchmarks.bench;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.List;
import java.util.Map;
import org.shallothook.benchmarks.measure.Measure;

/** JSON form of measures. Stateless and thread-safe. */
final class MeasuresJson {
  private static final Gson GSON =
      new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create();

  private MeasuresJson() {}

  static String write(List<Measure> measures) {
    return GSON.toJson(measures.stream().map(MeasuresJson::entryOf).toList()) + "\n";
  }

  static List<Entry> read(String json) {
    return List.of(GSON.fromJson(json, Entry[].class));
  }

  private static Entry entryOf(Measure measure) {
    return new Entry(
        measure.name(),
        KnownRedMeasures.deploymentOf(measure),
        measure.unit(),
        measure.figure(),
        measure.bound().toString(),
        measure.isHeld(),
        measure.baselines());
  }

  /**
   * One measure, as written.
   *
   * @param name name of the measure
   * @param deployment deployment
   * @param unit unit of the figure
   * @param figure figure
   * @param bound bound
   * @param held whether the figure keeps to the bound
   * @param baselines baselines by name
   */
  record Entry(
      String name,
      String deployment,
      String unit,
      double figure,
      String bound,
      boolean held,
      Map<String, Double> baselines) {}
}

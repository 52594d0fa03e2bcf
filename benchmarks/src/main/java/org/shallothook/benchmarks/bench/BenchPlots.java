package org.shallothook.benchmarks.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.shallothook.benchmarks.measure.Measure;

/** One bar chart for each measure that has baselines. Stateless and thread-safe. */
final class BenchPlots {
  private static final int WIDTH = 720;
  private static final int HEIGHT = 420;
  private static final int LABEL_DEGREES = 30;

  private BenchPlots() {}

  static void write(List<Measure> measures, Path folder) throws IOException {
    System.setProperty("java.awt.headless", "true");
    for (Measure measure : measures) {
      if (!measure.baselines().isEmpty()) {
        String name = KnownRedMeasures.nameOf(measure).replace(' ', '-');
        BitmapEncoder.saveBitmap(
            chartOf(measure),
            folder.resolve(name + ".png").toString(),
            BitmapEncoder.BitmapFormat.PNG);
      }
    }
  }

  private static CategoryChart chartOf(Measure measure) {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(KnownRedMeasures.nameOf(measure) + ", bound " + measure.bound())
            .yAxisTitle(measure.unit())
            .build();
    chart.getStyler().setLegendVisible(false);
    chart.getStyler().setXAxisLabelRotation(LABEL_DEGREES);
    List<String> names = new ArrayList<>(List.of("shallothook"));
    List<Double> figures = new ArrayList<>(List.of(measure.figure()));
    measure
        .baselines()
        .forEach(
            (name, figure) -> {
              names.add(name);
              figures.add(figure);
            });
    chart.addSeries(measure.unit(), names, figures);
    return chart;
  }
}

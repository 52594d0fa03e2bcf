package org.shallothook.benchmarks.bench;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.benchmarks.measure.Bound;
import org.shallothook.benchmarks.measure.Measure;
import org.shallothook.benchmarks.workload.Deployment;

final class BenchTableTest {

  private static Measure measure(String name, double figure) {
    return new Measure(
        name, Deployment.ALTAR_LINEN, "ms", figure, Bound.atMost(460), Map.of("random", 2.5));
  }

  private static String compare(List<Measure> old, List<Measure> measures) {
    List<MeasuresJson.Entry> read = MeasuresJson.read(MeasuresJson.write(old));
    return BenchTable.comparison(read, measures);
  }

  @Test
  void whatIsWrittenIsReadAgain() {
    MeasuresJson.Entry entry =
        MeasuresJson.read(MeasuresJson.write(List.of(measure("a", 500)))).get(0);

    assertThat(entry)
        .isEqualTo(
            new MeasuresJson.Entry(
                "a", "altar-linen", "ms", 500, "<= 460.000", false, Map.of("random", 2.5)));
  }

  @ParameterizedTest
  @CsvSource({
    "200, 210, '200.000 ->      210.000  +5.0 %'",
    "200, 150, '200.000 ->      150.000  -25.0 %'",
    "200, 200, '200.000 ->      200.000  same'",
    "0, 3, '0.000 ->        3.000  from 0'",
    "0, 0, '0.000 ->        0.000  same'",
  })
  void aChangeIsGivenInPercentOfTheOtherBuild(double before, double after, String expected) {
    assertThat(compare(List.of(measure("a", before)), List.of(measure("a", after))))
        .containsMatch("a altar-linen +" + Pattern.quote(expected));
  }

  @Test
  void measuresOfOneBuildAloneAreNamed() {
    String table = compare(List.of(measure("old", 1)), List.of(measure("fresh", 1)));

    assertThat(table).containsMatch("fresh altar-linen +new\n");
    assertThat(table).containsMatch("old altar-linen +not in this run, 1.000 in the other\n");
  }
}

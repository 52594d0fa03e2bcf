package org.shallothook.benchmarks.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.shallothook.benchmarks.measure.Measure;

/**
 * Measures that the list of known red cases names in lines {@code measure: NAME DEPLOYMENT}.
 *
 * <p>Immutable and thread-safe.
 */
final class KnownRedMeasures {
  private static final String PREFIX = "measure: ";

  private final Set<String> names;

  private KnownRedMeasures(Set<String> names) {
    this.names = Set.copyOf(names);
  }

  /** Reads the list; a missing file is an empty list. */
  static KnownRedMeasures read(Path file) throws IOException {
    if (!Files.exists(file)) {
      return new KnownRedMeasures(Set.of());
    }
    return new KnownRedMeasures(
        Files.readAllLines(file).stream()
            .filter(line -> line.startsWith(PREFIX))
            .map(line -> line.substring(PREFIX.length()).trim())
            .collect(Collectors.toSet()));
  }

  boolean isListed(Measure measure) {
    return names.contains(nameOf(measure));
  }

  /** Returns the name of a measure as the list has it. */
  static String nameOf(Measure measure) {
    return measure.name() + " " + deploymentOf(measure);
  }

  static String deploymentOf(Measure measure) {
    return measure.deployment().name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}

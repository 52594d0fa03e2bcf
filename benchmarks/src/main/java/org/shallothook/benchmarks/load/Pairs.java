package org.shallothook.benchmarks.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.stat.StatUtils;

/**
 * Results of paired trials, second arm against first.
 *
 * <p>Not thread-safe.
 */
final class Pairs {
  private final List<Trial.Result> first = new ArrayList<>();
  private final List<Trial.Result> second = new ArrayList<>();

  void add(Trial.Result ofFirst, Trial.Result ofSecond) {
    first.add(ofFirst);
    second.add(ofSecond);
  }

  /** Returns the number of chats without a complete answer. */
  long failed() {
    return first.stream().mapToLong(Trial.Result::failed).sum()
        + second.stream().mapToLong(Trial.Result::failed).sum();
  }

  /** Returns a table of both arms, their paired difference and its probability under no effect. */
  String table() {
    return String.format(
            Locale.ROOT,
            "%-34s %10s %10s %12s %8s %8s%n",
            "median of " + first.size() + " pairs",
            "first",
            "second",
            "difference",
            "percent",
            "p")
        + row("time to first token p50 (ms)", Trial.Result::medianMillis)
        + row("time to first token p99 (ms)", Trial.Result::p99Millis)
        + row("time to whole answer p50 (ms)", Trial.Result::answerMillis)
        + row("router processor time a chat (ms)", Trial.Result::processorMillis);
  }

  private String row(String name, ToDoubleFunction<Trial.Result> figure) {
    double[] before = first.stream().mapToDouble(figure).toArray();
    double[] after = second.stream().mapToDouble(figure).toArray();
    double[] differences = new double[before.length];
    for (int pair = 0; pair < differences.length; pair++) {
      differences[pair] = after[pair] - before[pair];
    }
    double median = StatUtils.percentile(differences, 50);
    double base = StatUtils.percentile(before, 50);
    return String.format(
        Locale.ROOT,
        "%-34s %10.3f %10.3f %+12.3f %8s %8.4f%n",
        name,
        base,
        StatUtils.percentile(after, 50),
        median,
        base == 0 ? "-" : String.format(Locale.ROOT, "%+.1f", 100 * median / base),
        PermutationTest.probability(differences));
  }
}

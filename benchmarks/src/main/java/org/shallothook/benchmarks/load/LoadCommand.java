package org.shallothook.benchmarks.load;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Compares two ways of sending the same chats to a held demonstration, in interleaved pairs.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = "Compares chats through routers with chats sent straight to sidecars.",
    footer = {
      "Examples, beside bin/demo --hold:",
      "  bin/load --first direct --second direct",
      "  bin/load --first direct --second router",
      "  bin/load --first router --second router --slow-second 1.05",
      "Exit codes: 0 every chat was answered, 1 some were not, 2 usage."
    })
public final class LoadCommand implements Callable<Integer> {
  /** Way of sending chats. */
  enum Way {
    ROUTER {
      @Override
      Arm open(LoadTarget target, Map<LoadPrompt, String> upstreams) {
        return target.routerArm();
      }
    },
    DIRECT {
      @Override
      Arm open(LoadTarget target, Map<LoadPrompt, String> upstreams)
          throws IOException, InterruptedException {
        return target.directArm(upstreams);
      }
    };

    abstract Arm open(LoadTarget target, Map<LoadPrompt, String> upstreams)
        throws IOException, InterruptedException;
  }

  @Option(names = "--deployment", description = "Folder of it; default ${DEFAULT-VALUE}.")
  private Path deployment = Path.of("examples", "altar-linen");

  @Option(names = "--first", description = "First way: ${COMPLETION-CANDIDATES}.")
  private Way first = Way.DIRECT;

  @Option(names = "--second", description = "Second way.")
  private Way second = Way.ROUTER;

  @Option(names = "--rate", description = "Chats a second; default ${DEFAULT-VALUE}.")
  private int rate = 300;

  @Option(names = "--seconds", description = "Length of a trial; default ${DEFAULT-VALUE}.")
  private int seconds = 3;

  @Option(names = "--pairs", description = "Pairs of trials, at most 20.")
  private int pairs = 8;

  @Option(names = "--tokens", description = "Tokens of an answer; default ${DEFAULT-VALUE}.")
  private int tokens = 2;

  @Option(names = "--slow-second", description = "Factor on the engines in the second way.")
  private double slowSecond = 1;

  @Option(names = "--seed", description = "Seed of the order within pairs.")
  private long seed = 1;

  @Spec private CommandSpec specification;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (pairs < 1 || pairs > PermutationTest.MAXIMUM_PAIRS) {
      throw new ParameterException(
          specification.commandLine(),
          "Give --pairs from 1 to " + PermutationTest.MAXIMUM_PAIRS + ".");
    }
    LoadTarget target = new LoadTarget(deployment, tokens);
    List<LoadPrompt> prompts = target.prompts();
    Map<LoadPrompt, String> upstreams = target.warmUp(prompts);
    Pairs results = new Pairs();
    try (Arm firstArm = first.open(target, upstreams);
        Arm secondArm = second.open(target, upstreams)) {
      runPairs(target, prompts, firstArm, secondArm, results);
    } finally {
      target.slow(1);
    }
    PrintWriter out = specification.commandLine().getOut();
    out.print(results.table());
    out.printf("chats without a whole answer: %d%n", results.failed());
    out.flush();
    return results.failed() == 0 ? 0 : 1;
  }

  private void runPairs(
      LoadTarget target, List<LoadPrompt> prompts, Arm firstArm, Arm secondArm, Pairs results)
      throws IOException, InterruptedException {
    RouterProcessor processor = target.processor();
    Random random = new Random(seed);
    new Trial(firstArm, prompts).run(rate, seconds, processor);
    new Trial(secondArm, prompts).run(rate, seconds, processor);
    for (int pair = 0; pair < pairs; pair++) {
      boolean secondGoesFirst = random.nextBoolean();
      Trial.Result early = trial(target, prompts, secondGoesFirst, firstArm, secondArm, processor);
      Trial.Result late = trial(target, prompts, !secondGoesFirst, firstArm, secondArm, processor);
      results.add(secondGoesFirst ? late : early, secondGoesFirst ? early : late);
    }
  }

  private Trial.Result trial(
      LoadTarget target,
      List<LoadPrompt> prompts,
      boolean isSecond,
      Arm firstArm,
      Arm secondArm,
      RouterProcessor processor)
      throws IOException, InterruptedException {
    target.slow(isSecond ? slowSecond : 1);
    return new Trial(isSecond ? secondArm : firstArm, prompts).run(rate, seconds, processor);
  }
}

package org.shallothook.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/**
 * One run from one seed: starts a deployment, sends requests to it while injecting disturbances,
 * waits until it has recovered, and checks every guarantee.
 *
 * <p>Not thread-safe.
 */
public final class SoakRun {
  private static final int START_TIMEOUT_SECONDS = 60;
  private static final int RECOVERY_TIMEOUT_SECONDS = 40;
  private static final int REQUIRED_CONSECUTIVE_SUCCESSES = 20;
  private static final long INTERVAL_MILLIS = 30;

  private final SoakOptions options;

  /** Sends a request, or several, and checks the responses. */
  @FunctionalInterface
  private interface Call {
    void send() throws InterruptedException;
  }

  /** Creates a run that has not started. */
  SoakRun(SoakOptions options) {
    this.options = options;
  }

  /**
   * Results of a run.
   *
   * @param outcomes number of requests per outcome
   * @param disturbances number of times each disturbance was begun
   * @param violations guarantees that were violated, with details
   */
  record Report(
      Map<CallerOutcome, Integer> outcomes,
      Map<Disturbance, Integer> disturbances,
      List<String> violations) {}

  /** Performs the run and returns its results. */
  Report run() throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(options.seed());
    try (SoakDeployment deployment = new SoakDeployment(options.folder(), options)) {
      awaitService(deployment, random.split(), START_TIMEOUT_SECONDS, "start");
      RequestOutcomes outcomes = new RequestOutcomes();
      AtomicBoolean isFinished = new AtomicBoolean();
      List<Thread> callers = startCallers(deployment, outcomes, isFinished, random);
      Map<Disturbance, Integer> disturbances =
          new DisturbanceInjector(deployment, random.split())
              .run(options.seconds(), options.disturbances());
      isFinished.set(true);
      for (Thread caller : callers) {
        caller.join();
      }
      checkProcesses(deployment);
      awaitService(deployment, random.split(), RECOVERY_TIMEOUT_SECONDS, "recovery");
      awaitDesiredVersion(deployment);
      outcomes.checkAgainst(deployment.executionLog());
      return new Report(outcomes.counts(), disturbances, deployment.executionLog().violations());
    }
  }

  private List<Thread> startCallers(
      SoakDeployment deployment,
      RequestOutcomes outcomes,
      AtomicBoolean isFinished,
      SplittableRandom random) {
    List<Thread> threads = new ArrayList<>();
    for (int index = 0; index < options.callers(); index++) {
      SplittableRandom callerRandom = random.split();
      Runnable calls =
          options.disturbances() == DisturbanceSet.PLANNED
              ? () -> keepCalling(isFinished, new KeptCaller(deployment, outcomes, callerRandom))
              : () ->
                  callUntil(
                      isFinished,
                      new Caller(deployment, outcomes, callerRandom)::callServingRouter);
      Thread thread = new Thread(calls, "caller-" + index);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    return threads;
  }

  private static void keepCalling(AtomicBoolean isFinished, KeptCaller caller) {
    try (caller) {
      callUntil(isFinished, caller::call);
    }
  }

  private static void callUntil(AtomicBoolean isFinished, Call call) {
    try {
      while (!isFinished.get()) {
        call.send();
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Logger.debug("soak: a caller was interrupted");
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Waits until each router has served a number of consecutive requests; cancelled ones count as
   * served. Records a violation on a timeout.
   */
  private static void awaitService(
      SoakDeployment deployment, SplittableRandom random, int seconds, String phase)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    for (int router = 0; router < deployment.routers().size(); router++) {
      Caller caller = new Caller(deployment, new RequestOutcomes(), random.split());
      int successes = 0;
      while (successes < REQUIRED_CONSECUTIVE_SUCCESSES && System.nanoTime() < deadlineNanos) {
        CallerOutcome outcome = caller.call(router);
        successes =
            outcome == CallerOutcome.SERVED || outcome == CallerOutcome.LEFT ? successes + 1 : 0;
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
      }
      if (successes < REQUIRED_CONSECUTIVE_SUCCESSES) {
        deployment.executionLog().recordViolation("service after the " + phase, "router " + router);
      }
    }
  }

  private static void checkProcesses(SoakDeployment deployment) {
    List<ManagedProcess> all = new ArrayList<>(deployment.routers());
    all.addAll(deployment.sidecars());
    for (ManagedProcess process : all) {
      if (!process.isAlive()) {
        deployment.executionLog().recordViolation("no process exits by itself", process.name());
        process.start();
      }
    }
  }

  private static void awaitDesiredVersion(SoakDeployment deployment) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(RECOVERY_TIMEOUT_SECONDS);
    long desired = deployment.desiredVersion();
    while (System.nanoTime() < deadlineNanos
        && deployment.modelServers().stream()
            .anyMatch(server -> deployment.currentVersion(server) != desired)) {
      TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
    }
    deployment
        .modelServers()
        .forEach(
            server -> {
              long version = deployment.currentVersion(server);
              if (version != desired) {
                deployment
                    .executionLog()
                    .recordViolation(
                        "the desired weights",
                        server.address() + " has version " + version + ", not " + desired);
              }
            });
  }
}

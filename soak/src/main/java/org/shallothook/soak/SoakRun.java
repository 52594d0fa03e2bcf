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
 * One run from one seed: starts a deployment, lets callers use it while it is disturbed, lets it
 * recover, and checks every promise.
 *
 * <p>Not thread-safe.
 */
public final class SoakRun {
  private static final int START_SECONDS = 60;
  private static final int RECOVERY_SECONDS = 40;
  private static final int GOOD_IN_A_ROW = 20;
  private static final long PAUSE_MILLIS = 30;

  private final SoakOptions options;

  /** Creates a run that has not started. */
  SoakRun(SoakOptions options) {
    this.options = options;
  }

  /**
   * What a run has seen.
   *
   * @param outcomes how many requests ended in each way
   * @param disturbances how often each disturbance was begun
   * @param violations promises that were broken
   */
  record Report(
      Map<Outcome, Integer> outcomes,
      Map<Disturbance, Integer> disturbances,
      List<String> violations) {}

  /** Runs and returns what was seen. */
  Report run() throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(options.seed());
    try (Deployment deployment = new Deployment(options.folder(), options)) {
      awaitService(deployment, random.split(), START_SECONDS, "start");
      CallRecord record = new CallRecord();
      AtomicBoolean isOver = new AtomicBoolean();
      List<Thread> callers = startCallers(deployment, record, isOver, random);
      Map<Disturbance, Integer> disturbances =
          new Injector(deployment, random.split()).run(options.seconds(), options.isCalm());
      isOver.set(true);
      for (Thread caller : callers) {
        caller.join();
      }
      checkProcesses(deployment);
      awaitService(deployment, random.split(), RECOVERY_SECONDS, "recovery");
      awaitWeights(deployment);
      record.checkAgainst(deployment.ledger());
      return new Report(record.counts(), disturbances, deployment.ledger().violations());
    }
  }

  private List<Thread> startCallers(
      Deployment deployment, CallRecord record, AtomicBoolean isOver, SplittableRandom random) {
    List<Thread> threads = new ArrayList<>();
    for (int index = 0; index < options.callers(); index++) {
      Caller caller = new Caller(deployment, record, random.split());
      Thread thread = new Thread(() -> callUntil(isOver, caller), "caller-" + index);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    return threads;
  }

  private static void callUntil(AtomicBoolean isOver, Caller caller) {
    try {
      while (!isOver.get()) {
        caller.callAny();
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Logger.debug("soak: a caller was interrupted");
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until each router has served a row of requests. */
  private static void awaitService(
      Deployment deployment, SplittableRandom random, int seconds, String when)
      throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    for (int router = 0; router < deployment.routers().size(); router++) {
      Caller caller = new Caller(deployment, new CallRecord(), random.split());
      int good = 0;
      while (good < GOOD_IN_A_ROW && System.nanoTime() < endNanos) {
        Outcome outcome = caller.call(router);
        good = outcome == Outcome.SERVED || outcome == Outcome.LEFT ? good + 1 : 0;
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      }
      if (good < GOOD_IN_A_ROW) {
        deployment.ledger().violated("service after the " + when, "router " + router);
      }
    }
  }

  private static void checkProcesses(Deployment deployment) {
    List<ManagedProcess> all = new ArrayList<>(deployment.routers());
    all.addAll(deployment.sidecars());
    for (ManagedProcess process : all) {
      if (!process.isAlive()) {
        deployment.ledger().violated("no process ends by itself", process.name());
        process.start();
      }
    }
  }

  private static void awaitWeights(Deployment deployment) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(RECOVERY_SECONDS);
    long wanted = deployment.weightsVersion();
    while (System.nanoTime() < endNanos
        && deployment.models().stream().anyMatch(one -> deployment.weightsOf(one) != wanted)) {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    }
    deployment
        .models()
        .forEach(
            server -> {
              long version = deployment.weightsOf(server);
              if (version != wanted) {
                deployment
                    .ledger()
                    .violated(
                        "the wanted weights",
                        server.address() + " has " + version + ", not " + wanted);
              }
            });
  }
}

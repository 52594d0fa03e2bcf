package org.shallothook.benchmarks.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.shallothook.transport.process.Pause;

/**
 * Waits for the processes of a deployment.
 *
 * <p>Not thread-safe.
 */
final class DeploymentWatch {
  private static final long POLL_MILLIS = 100;

  private final ExampleDeployment deployment;
  private final ChatClient client = new ChatClient();

  DeploymentWatch(ExampleDeployment deployment) {
    this.deployment = deployment;
  }

  /**
   * Returns once every router knows every team and can reach a model.
   *
   * @throws TimeoutException naming the addresses that do not serve
   */
  void awaitServing(int seconds) throws IOException, InterruptedException, TimeoutException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    List<String> waiting = new ArrayList<>(addresses());
    while (!waiting.isEmpty()) {
      waiting.removeIf(this::isServing);
      if (System.nanoTime() > deadlineNanos) {
        throw new TimeoutException("Not serving: " + waiting);
      }
      Pause.ofMillis(POLL_MILLIS);
    }
  }

  private List<String> addresses() {
    List<String> addresses = new ArrayList<>();
    deployment.routers().forEach(router -> addresses.add(router.admin()));
    deployment.upstreams().forEach(upstream -> addresses.add(upstream.admin()));
    return Collections.unmodifiableList(addresses);
  }

  private boolean isServing(String address) {
    try {
      client.get(address, "/healthz");
      return true;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}

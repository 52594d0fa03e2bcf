package org.shallothook.benchmarks.demo;

import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The verb {@code demo}: steps of the script that shows a whole deployment.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(name = "demo", description = "Steps of bin/demo.", mixinStandardHelpOptions = true)
public final class DemoCommand {
  @Spec private CommandSpec specification;

  /** Options that every step takes. */
  static final class DeploymentOption {
    @Option(names = "--deployment", required = true, description = "Folder of the deployment.")
    private Path folder;

    ExampleDeployment read() {
      return DeploymentReader.read(folder);
    }
  }

  @Command(name = "wait", description = "Waits until every process serves.")
  int waitUntilServing(
      @Mixin DeploymentOption deployment,
      @Option(names = "--seconds", defaultValue = "30", description = "Seconds at most.")
          int seconds)
      throws IOException, InterruptedException, TimeoutException {
    new DeploymentWatch(deployment.read()).awaitServing(seconds);
    return 0;
  }

  @Command(name = "endpoints", description = "Writes the deployment's addresses as JSON.")
  int writeEndpoints(@Mixin DeploymentOption deployment, @Parameters Path file) throws IOException {
    String json = new GsonBuilder().setPrettyPrinting().create().toJson(endpoints(deployment));
    Files.writeString(file, json + "\n");
    return 0;
  }

  @Command(name = "load", description = "Sends chats and bookings and prints a table.")
  int load(
      @Mixin DeploymentOption deployment,
      @Option(names = "--seconds", defaultValue = "12", description = "Seconds to run.")
          int seconds,
      @Option(names = "--rate", defaultValue = "20", description = "Requests a second.") int rate)
      throws IOException, InterruptedException {
    DemoReport report = new DemoLoad(deployment.read(), seconds, rate).run();
    PrintWriter out = specification.commandLine().getOut();
    out.print(report.table());
    out.flush();
    return report.isSound() ? 0 : 1;
  }

  private static Endpoints endpoints(DeploymentOption option) {
    ExampleDeployment deployment = option.read();
    return new Endpoints(
        deployment.routers().stream().map(ExampleDeployment.Router::callers).toList(),
        deployment.routers().stream().map(ExampleDeployment.Router::admin).toList(),
        deployment.teams(),
        deployment.services(),
        deployment.upstreams());
  }
}

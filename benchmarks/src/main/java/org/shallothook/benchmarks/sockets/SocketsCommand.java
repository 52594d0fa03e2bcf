package org.shallothook.benchmarks.sockets;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Prints what idle connections, messages between peers and an idle decision thread cost.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "sockets",
    mixinStandardHelpOptions = true,
    description = "Costs of connections and of the decision thread, in one process on loopback.",
    footer = {"Example:", "  shallothook-benchmarks sockets --connections 500 --messages 200000"})
public final class SocketsCommand implements Callable<Integer> {
  @Option(
      names = "--connections",
      defaultValue = "500",
      description = "Open connections of each kind. Default: ${DEFAULT-VALUE}.")
  private int connections;

  @Option(
      names = "--messages",
      defaultValue = "200000",
      description = "Messages between two peers. Default: ${DEFAULT-VALUE}.")
  private int messages;

  @Override
  public Integer call() throws Exception {
    List<Measurement> measurements =
        List.of(
            new CallerConnectionCost(connections),
            new PeerConnectionCost(connections),
            new PeerMessageCost(messages),
            new IdleThreadCost());
    for (Measurement measurement : measurements) {
      System.out.println(measurement.measure());
    }
    return 0;
  }
}

package org.shallothook.benchmarks.sockets;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.transport.peer.PeerNetwork;

/** Processor time of a message with tokens, sent and received, all threads together. */
final class PeerMessageCost implements Measurement {
  private static final int WINDOW = 1_000;
  private static final PeerMessage TOKENS =
      new PeerMessage.Tokens(PeerPair.ATTEMPT, 1, 1, " token");

  private final int messages;

  PeerMessageCost(int messages) {
    this.messages = messages;
  }

  @Override
  public String measure() throws Exception {
    try (PeerPair pair = new PeerPair()) {
      PeerNetwork router = pair.connect();
      run(pair, router);
      long before = processorNanos();
      int rounds = run(pair, router);
      long each = (processorNanos() - before) / ((long) rounds * WINDOW);
      return "peer message: " + each + " ns of processor time, sent and received";
    }
  }

  private int run(PeerPair pair, PeerNetwork router) throws InterruptedException {
    int rounds = messages / WINDOW;
    for (int round = 0; round < rounds; round++) {
      for (int sent = 0; sent < WINDOW; sent++) {
        router.send("sidecar", TOKENS, 0);
      }
      pair.awaitMessages(WINDOW);
    }
    return rounds;
  }

  private static long processorNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : threads.getAllThreadIds()) {
      sum += Math.max(0, threads.getThreadCpuTime(id));
    }
    return sum;
  }
}

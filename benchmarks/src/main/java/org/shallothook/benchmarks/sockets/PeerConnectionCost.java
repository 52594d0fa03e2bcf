package org.shallothook.benchmarks.sockets;

/** Memory of a connection between peers after one message, both ends together. */
final class PeerConnectionCost implements Measurement {
  private final int connections;

  PeerConnectionCost(int connections) {
    this.connections = connections;
  }

  @Override
  public String measure() throws Exception {
    try (PeerPair pair = new PeerPair()) {
      pair.connect();
      long before = Heap.usedBytes();
      for (int opened = 0; opened < connections; opened++) {
        pair.connect();
      }
      long each = (Heap.usedBytes() - before) / connections;
      return "peer connection: " + each + " bytes, both ends and the opener's network together";
    }
  }
}

package org.shallothook.coordination.registry;

/**
 * Streams of the platform's store that the system reads or writes.
 *
 * <p>Immutable and thread-safe.
 */
public enum RegistryStream {
  /** What operators publish: the configuration, and versions of weights. */
  OPERATOR("operator"),
  /** What servers write of themselves. */
  SERVERS("servers"),
  /** Where the processes of the system listen. */
  MEMBERS("keyed.shallothook-members"),
  /** Numbers that order holders of a server; only the offsets matter. */
  FENCES("shallothook-fences");

  private final String streamName;

  RegistryStream(String streamName) {
    this.streamName = streamName;
  }

  /** Returns the name of a stream of the system's own; the others are named by the platform. */
  public String streamName() {
    return streamName;
  }
}

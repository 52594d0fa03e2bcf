package org.shallothook.coordination.registry;

/**
 * Streams of the platform's store that this system reads or writes.
 *
 * <p>Immutable and thread-safe.
 */
public enum RegistryStream {
  /** Records published by operators: the configuration and the desired versions of weights. */
  OPERATOR("operator"),
  /** Entries that servers write about themselves. */
  SERVERS("servers"),
  /** Membership records of the processes of this system, with their addresses. */
  MEMBERS("keyed.shallothook-members"),
  /** What requests that crash servers have in common, with the end of its quarantine. */
  QUARANTINES("keyed.shallothook-quarantines"),
  /** Software versions of each service, in the order in which they were declared. */
  SOFTWARE("keyed.shallothook-software"),
  /** Software versions that began streams, as far as others do not assume them anyway. */
  STREAMS("keyed.shallothook-streams"),
  /** Fencing tokens of server owners; only the offsets of the records are used. */
  FENCES("shallothook-fences");

  private final String streamName;

  RegistryStream(String streamName) {
    this.streamName = streamName;
  }

  /**
   * Returns whether a key of which a restored copy of the store knows nothing keeps its value. Its
   * writer sets it again, and never removes one.
   */
  boolean keepsKeysMissingInCopy() {
    return this == OPERATOR;
  }

  /**
   * Returns the name of the stream; valid only for streams of this system, since the platform names
   * the others.
   */
  public String streamName() {
    return streamName;
  }
}

package org.shallothook.coordination.forward;

import java.util.Objects;
import java.util.Optional;

/**
 * What is known about the software that began a stream, on which alone the stream may go on.
 *
 * <pre>{@code
 * SoftwareOrigin origin = SoftwareOrigin.of(server);
 * List<Server> candidates = servers.stream().filter(origin::admits).toList();
 * }</pre>
 *
 * <p>If the software version is unknown, only the incarnation of the server that began the stream
 * is certain to have it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service service of the server that began the stream
 * @param server identity of that server; the empty string if unknown
 * @param startedAtMillis start of its incarnation, in milliseconds since the epoch; 0 if unknown
 * @param softwareVersion version of its software; empty if unknown
 */
record SoftwareOrigin(
    String service, String server, long startedAtMillis, Optional<String> softwareVersion) {
  private static final long UNKNOWN_START = 0;

  SoftwareOrigin {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(softwareVersion, "softwareVersion");
  }

  /** Returns the origin of a stream that begins at a server now. */
  static SoftwareOrigin of(Server server) {
    return new SoftwareOrigin(
        server.entry().service(),
        server.name(),
        server.entry().startedAtMillis(),
        server.entry().softwareVersion().filter(version -> server.isEntryCurrent()));
  }

  /** Returns the origin of a stream of which only the software version is known. */
  static SoftwareOrigin ofVersion(String service, String version) {
    return new SoftwareOrigin(service, "", UNKNOWN_START, Optional.of(version));
  }

  /**
   * Returns the origin of a stream whose response begins now. If the server has restarted since the
   * request was sent to it, it is unknown which incarnation responds.
   */
  SoftwareOrigin atResponse(Server responding) {
    boolean isSameIncarnation = responding.entry().startedAtMillis() == startedAtMillis;
    return isSameIncarnation
        ? this
        : new SoftwareOrigin(
            service,
            server,
            UNKNOWN_START,
            softwareVersion.filter(
                version -> responding.entry().softwareVersion().equals(softwareVersion)));
  }

  /** Returns whether the stream may go on at a server now. */
  boolean admits(Server candidate) {
    return candidate.isEntryCurrent() && matches(candidate);
  }

  /**
   * Returns whether the entry of a server has the software that began the stream; the server may
   * have restarted since the entry was written.
   */
  boolean matches(Server candidate) {
    return candidate.entry().service().equals(service)
        && (softwareVersion.isPresent()
            ? candidate.entry().softwareVersion().equals(softwareVersion)
            : isSameIncarnation(candidate));
  }

  private boolean isSameIncarnation(Server candidate) {
    return startedAtMillis != UNKNOWN_START
        && candidate.name().equals(server)
        && candidate.entry().startedAtMillis() == startedAtMillis;
  }
}

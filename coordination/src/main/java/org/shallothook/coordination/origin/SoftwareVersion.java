package org.shallothook.coordination.origin;

import java.util.Objects;
import java.util.Optional;

/**
 * A version of the software of a service's servers. It is not the version of their weights.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service name of the service
 * @param version the version, as servers state it in their registry entries
 */
public record SoftwareVersion(String service, String version) {
  private static final char SEPARATOR = '/';

  /** Maximum length of a key in the store, in characters; each has up to three bytes there. */
  private static final int MAXIMUM_KEY_LENGTH = 85;

  public SoftwareVersion {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(version, "version");
  }

  /** Returns the version that a key of the store names; empty if it names none. */
  public static Optional<SoftwareVersion> ofKey(String key) {
    int separator = key.indexOf(SEPARATOR);
    return separator < 0
        ? Optional.empty()
        : Optional.of(
            new SoftwareVersion(key.substring(0, separator), key.substring(separator + 1)));
  }

  /** Returns the key of this version in the store. */
  public String key() {
    return service + SEPARATOR + version;
  }

  /** Returns whether the store can have this version as a key that names it. */
  boolean isDeclarable() {
    return service.indexOf(SEPARATOR) < 0 && key().length() <= MAXIMUM_KEY_LENGTH;
  }
}

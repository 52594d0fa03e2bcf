package org.shallothook.protocol.caller;

import java.util.List;
import java.util.Optional;

/**
 * Service and path of {@code POST /v1/services/{service}/{path}}.
 *
 * <p>Invariant: neither part is empty; the path has no empty, {@code .} or {@code ..} segment, and
 * no escaped or control characters, so that every process parses it in the same way. Immutable and
 * thread-safe.
 *
 * @param service name of the service
 * @param path path below the service, without a leading slash
 */
public record ServicePath(String service, String path) {
  private static final String PREFIX = "/v1/services/";
  private static final List<String> REJECTED_SEGMENTS = List.of("", ".", "..");

  /** Parses the path of a request, without its query; empty if it is not a valid service path. */
  public static Optional<ServicePath> of(String uriPath) {
    if (!uriPath.startsWith(PREFIX)) {
      return Optional.empty();
    }
    String rest = uriPath.substring(PREFIX.length());
    int slash = rest.indexOf('/');
    if (slash <= 0 || !rest.chars().allMatch(ServicePath::isAllowed)) {
      return Optional.empty();
    }
    String path = rest.substring(slash + 1);
    for (String segment : path.split("/", -1)) {
      if (REJECTED_SEGMENTS.contains(segment)) {
        return Optional.empty();
      }
    }
    return Optional.of(new ServicePath(rest.substring(0, slash), path));
  }

  private static boolean isAllowed(int character) {
    return character > ' ' && character < 0x7f && "%\\?#".indexOf(character) < 0;
  }
}

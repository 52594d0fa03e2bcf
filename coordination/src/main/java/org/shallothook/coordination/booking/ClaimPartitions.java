package org.shallothook.coordination.booking;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.openhft.hashing.LongHashFunction;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;

/**
 * Maps scopes to partitions, and partitions to the sidecars that own them.
 *
 * <p>Owners are chosen by rendezvous hashing over the upstreams in the list of instances, so
 * processes with the same list agree on them. Where lists differ, the log still decides which claim
 * wins. Not thread-safe.
 */
final class ClaimPartitions {
  private static final String STREAM_PREFIX = "claims-";

  private final int partitions;
  private List<String> sidecars;

  ClaimPartitions(int partitions, String self) {
    this.partitions = partitions;
    this.sidecars = List.of(self);
  }

  /** Selects the sidecars of upstreams that are not leaving, or {@code self} if there are none. */
  void setInstances(InstanceList list, String self) {
    List<String> upstreams =
        list.instances().stream()
            .filter(instance -> instance.role().isUpstream() && !instance.isLeaving())
            .map(Instance::name)
            .sorted()
            .toList();
    sidecars = upstreams.isEmpty() ? List.of(self) : upstreams;
  }

  /** Returns the stream of the partition that a scope belongs to. */
  String streamOf(String scope) {
    long hash = LongHashFunction.xx3().hashChars(scope);
    return STREAM_PREFIX + Math.floorMod(hash, partitions);
  }

  /** Returns whether a stream of the log holds claims. */
  static boolean isClaimStream(String stream) {
    return stream.startsWith(STREAM_PREFIX);
  }

  /** Returns the streams of the partitions that a sidecar owns. */
  List<String> ownedBy(String sidecar) {
    return IntStream.range(0, partitions)
        .mapToObj(number -> STREAM_PREFIX + number)
        .filter(stream -> ownerOf(stream, 0).filter(sidecar::equals).isPresent())
        .toList();
  }

  /**
   * Returns the sidecar of a rank for the partition with a stream.
   *
   * @param rank 0 for the owner, higher for the fallbacks when it does not respond; wraps around
   */
  Optional<String> ownerOf(String stream, int rank) {
    return sidecars.stream()
        .sorted(
            Comparator.comparingLong((String name) -> weight(stream, name))
                .thenComparing(name -> name))
        .skip(rank % sidecars.size())
        .findFirst();
  }

  private static long weight(String stream, String sidecar) {
    return LongHashFunction.xx3().hashChars(stream + '/' + sidecar);
  }
}

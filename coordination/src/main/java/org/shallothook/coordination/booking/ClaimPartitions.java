package org.shallothook.coordination.booking;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.openhft.hashing.LongHashFunction;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;

/**
 * Maps scopes to partitions, and partitions to the sidecars that keep them.
 *
 * <p>Keepers are chosen by rendezvous hashing over the upstreams in the list of instances, so most
 * processes agree on them; where they do not, the log still decides. Not thread-safe.
 */
final class ClaimPartitions {
  private static final String STREAM_PREFIX = "claims-";

  private final int partitions;
  private List<String> sidecars;

  ClaimPartitions(int partitions, String self) {
    this.partitions = partitions;
    this.sidecars = List.of(self);
  }

  void setInstances(InstanceList list, String self) {
    List<String> upstreams =
        list.instances().stream()
            .filter(instance -> instance.role().isUpstream() && !instance.isLeaving())
            .map(Instance::name)
            .sorted()
            .toList();
    sidecars = upstreams.isEmpty() ? List.of(self) : upstreams;
  }

  String streamOf(String scope) {
    long hash = LongHashFunction.xx3().hashChars(scope);
    return STREAM_PREFIX + Math.floorMod(hash, partitions);
  }

  static boolean isClaims(String stream) {
    return stream.startsWith(STREAM_PREFIX);
  }

  /** Returns the streams that a sidecar keeps. */
  List<String> keptBy(String sidecar) {
    return IntStream.range(0, partitions)
        .mapToObj(number -> STREAM_PREFIX + number)
        .filter(stream -> keeperOf(stream, 0).filter(sidecar::equals).isPresent())
        .toList();
  }

  /**
   * Returns the sidecar of a rank for a stream.
   *
   * @param rank 0 for the keeper, higher for those that follow when it does not answer
   */
  Optional<String> keeperOf(String stream, int rank) {
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

package org.shallothook.protocol.peer;

import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.generated.EnvelopeFrame;
import org.shallothook.protocol.generated.TeamUseEntry;
import org.shallothook.protocol.generated.TeamUseFrame;
import org.shallothook.protocol.generated.UpstreamPaceEntry;
import org.shallothook.protocol.generated.UpstreamPaceFrame;
import org.shallothook.protocol.generated.UpstreamSpeedEntry;
import org.shallothook.protocol.generated.UpstreamSpeedsFrame;

/**
 * Conversions of the messages about load, which routers exchange.
 *
 * <p>Stateless and thread-safe.
 */
final class LoadMapping {
  private LoadMapping() {}

  /** Encodes a message about load; returns false without a change for any other message. */
  static boolean encode(PeerMessage message, EnvelopeFrame.Builder frame) {
    if (message instanceof PeerMessage.TeamUse use) {
      frame.setTeamUse(frameOf(use));
    } else if (message instanceof PeerMessage.UpstreamSpeeds speeds) {
      frame.setUpstreamSpeeds(frameOf(speeds));
    } else if (message instanceof PeerMessage.UpstreamPace pace) {
      frame.setUpstreamPace(frameOf(pace));
    } else {
      return false;
    }
    return true;
  }

  static PeerMessage use(TeamUseFrame frame) {
    return new PeerMessage.TeamUse(
        frame.getTeamsList().stream()
            .map(
                entry ->
                    new PeerMessage.UsedAllowance(
                        entry.getTeam(),
                        FieldMapping.requireNonNegative("team_use.used", entry.getUsed()),
                        requireFinite("team_use.demand_per_second", entry.getDemandPerSecond())))
            .toList());
  }

  static PeerMessage speeds(UpstreamSpeedsFrame frame) {
    return new PeerMessage.UpstreamSpeeds(
        frame.getSpeedsList().stream()
            .map(
                entry ->
                    new PeerMessage.UpstreamSpeed(
                        entry.getUpstream(),
                        entry.getIncarnation(),
                        requireFinite("upstream_speeds.weight", entry.getWeight()),
                        requireFinite("upstream_speeds.ratio", entry.getRatio())))
            .toList());
  }

  static PeerMessage pace(UpstreamPaceFrame frame) {
    return new PeerMessage.UpstreamPace(
        frame.getPacesList().stream()
            .map(
                entry ->
                    new PeerMessage.PacedUpstream(
                        entry.getUpstream(),
                        entry.getIncarnation(),
                        FieldMapping.requireNonNegative("upstream_pace.in_time", entry.getInTime()),
                        FieldMapping.requireNonNegative("upstream_pace.late", entry.getLate()),
                        FieldMapping.requireNonNegative("upstream_pace.window", entry.getWindow())))
            .toList());
  }

  private static double requireFinite(String field, double value) {
    if (Double.isInfinite(value)) {
      throw new InvalidFieldException(field, value);
    }
    return FieldMapping.requireNonNegative(field, value);
  }

  private static TeamUseFrame.Builder frameOf(PeerMessage.TeamUse use) {
    TeamUseFrame.Builder frame = TeamUseFrame.newBuilder();
    for (PeerMessage.UsedAllowance one : use.teams()) {
      frame.addTeams(
          TeamUseEntry.newBuilder()
              .setTeam(one.team())
              .setUsed(one.used())
              .setDemandPerSecond(one.demandPerSecond()));
    }
    return frame;
  }

  private static UpstreamSpeedsFrame.Builder frameOf(PeerMessage.UpstreamSpeeds speeds) {
    UpstreamSpeedsFrame.Builder frame = UpstreamSpeedsFrame.newBuilder();
    for (PeerMessage.UpstreamSpeed one : speeds.speeds()) {
      frame.addSpeeds(
          UpstreamSpeedEntry.newBuilder()
              .setUpstream(one.upstream())
              .setIncarnation(one.incarnation())
              .setWeight(one.weight())
              .setRatio(one.ratio()));
    }
    return frame;
  }

  private static UpstreamPaceFrame.Builder frameOf(PeerMessage.UpstreamPace pace) {
    UpstreamPaceFrame.Builder frame = UpstreamPaceFrame.newBuilder();
    for (PeerMessage.PacedUpstream one : pace.paces()) {
      frame.addPaces(
          UpstreamPaceEntry.newBuilder()
              .setUpstream(one.upstream())
              .setIncarnation(one.incarnation())
              .setInTime(one.inTime())
              .setLate(one.late())
              .setWindow(one.window()));
    }
    return frame;
  }
}

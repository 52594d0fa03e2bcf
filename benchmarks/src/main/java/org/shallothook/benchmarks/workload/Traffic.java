package org.shallothook.benchmarks.workload;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.shallothook.benchmarks.virtual.CallerRecord;
import org.shallothook.benchmarks.virtual.ChatCall;
import org.shallothook.benchmarks.virtual.ChatRecord;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.standins.engine.EngineSettings;

/**
 * Seeded open-loop traffic: requests arrive at a rate that does not depend on the answers.
 *
 * <p>Each request begins a conversation or continues one whose last answer has come. A share of the
 * requests comes in bursts of one team. Callers do not send refused requests again.
 *
 * <pre>{@code
 * Traffic traffic = new Traffic(fleet, Deployment.ALTAR_LINEN, 5);
 * traffic.send(from, until, 0.8 * Traffic.capacity(8));
 * fleet.runUntil(until);
 * }</pre>
 *
 * <p>Invariant: the same seed and calls give the same arrivals. Not thread-safe.
 */
public final class Traffic {
  /** Mean length of an answer, in tokens. */
  public static final int MEAN_ANSWER_TOKENS = 40;

  private static final int ANSWER_TOKENS_RANGE = 20;
  private static final int MINIMUM_QUESTION_BYTES = Deployment.BLOCK_BYTES / 10;
  private static final int MAXIMUM_QUESTION_BYTES = Deployment.BLOCK_BYTES;
  private static final int MAXIMUM_TURNS = 4;
  private static final int MAXIMUM_IDLE = 400;
  private static final double CONTINUE_SHARE = 0.6;
  private static final double SECOND_MICROS = 1_000_000;
  private static final long BURST_MICROS = 1_000_000;
  private static final int BURST_REQUESTS = 12;
  private static final double[] WEIGHTS = {0.3, 0.25, 0.15, 0.1, 0.08, 0.07, 0.05};

  private final VirtualFleet fleet;
  private final Deployment deployment;
  private final List<TeamSpec> teams;
  private final SplittableRandom random;
  private final TextSource texts;
  private final List<Conversation> idle = new ArrayList<>();
  private final Map<CallerRecord, Conversation> waiting = new LinkedHashMap<>();
  private String tenant = Deployment.CURRENT;

  /** Creates traffic on a fleet; one for each fleet. */
  public Traffic(VirtualFleet fleet, Deployment deployment, long seed) {
    this.fleet = fleet;
    this.deployment = deployment;
    teams = List.copyOf(fleet.teams().values());
    random = new SplittableRandom(seed);
    texts = new TextSource(random.split());
    fleet.callers().whenEnded(this::onEnded);
  }

  /**
   * Returns the requests a second at which that many engines decode full batches without a pause,
   * with prompts at hand.
   */
  public static double capacity(int engines) {
    EngineSettings settings = EngineSettings.DEFAULT;
    double tokenMicros = (double) settings.maximumDecodeMicros() / settings.maximumRunning();
    return engines * SECOND_MICROS / (tokenMicros * MEAN_ANSWER_TOKENS);
  }

  /** Makes new conversations use another tenant from now on and ends the old ones. */
  public void shiftTo(String newTenant) {
    tenant = newTenant;
    idle.clear();
    waiting.clear();
  }

  /** Schedules requests of the ordinary teams at a mean rate, from one time until another. */
  public void send(long fromMicros, long untilMicros, double requestsPerSecond) {
    double steady = requestsPerSecond * (1 - deployment.burstShare());
    double bursts = requestsPerSecond * deployment.burstShare() / BURST_REQUESTS;
    arrivals(fromMicros, untilMicros, steady, () -> request(ordinaryTeam()));
    if (bursts > 0) {
      arrivals(fromMicros, untilMicros, bursts, this::burst);
    }
  }

  /** Schedules requests of one team, each a new conversation. */
  public void sendOf(String team, long fromMicros, long untilMicros, double requestsPerSecond) {
    arrivals(
        fromMicros,
        untilMicros,
        requestsPerSecond,
        () -> ask(new Conversation(fleet.teams().get(team), tenant)));
  }

  private void arrivals(long fromMicros, long untilMicros, double ratePerSecond, Runnable arrival) {
    long next = fromMicros + nextGapMicros(ratePerSecond);
    if (next < untilMicros) {
      fleet.at(
          next,
          () -> {
            arrival.run();
            arrivals(next, untilMicros, ratePerSecond, arrival);
          });
    }
  }

  private long nextGapMicros(double ratePerSecond) {
    return (long) (-Math.log(1 - random.nextDouble()) * SECOND_MICROS / ratePerSecond);
  }

  private void burst() {
    TeamSpec team = ordinaryTeam();
    for (int index = 0; index < BURST_REQUESTS; index++) {
      fleet.at(fleet.nowMicros() + random.nextLong(BURST_MICROS), () -> request(team));
    }
  }

  private TeamSpec ordinaryTeam() {
    double left = random.nextDouble();
    for (int team = 0; team < WEIGHTS.length; team++) {
      left -= WEIGHTS[team];
      if (left < 0) {
        return teams.get(team);
      }
    }
    return teams.get(0);
  }

  private void request(TeamSpec team) {
    List<Conversation> own = idle.stream().filter(one -> one.team().equals(team)).toList();
    if (!own.isEmpty() && random.nextDouble() < CONTINUE_SHARE) {
      Conversation conversation = own.get(random.nextInt(own.size()));
      idle.remove(conversation);
      ask(conversation);
    } else {
      ask(new Conversation(team, tenant));
    }
  }

  private void ask(Conversation conversation) {
    int bytes = random.nextInt(MINIMUM_QUESTION_BYTES, MAXIMUM_QUESTION_BYTES);
    int tokens =
        random.nextInt(
            MEAN_ANSWER_TOKENS - ANSWER_TOKENS_RANGE, MEAN_ANSWER_TOKENS + ANSWER_TOKENS_RANGE + 1);
    String question = texts.text(bytes) + " answer-tokens:" + tokens;
    ChatRecord record =
        fleet.chat(
            ChatCall.of(
                conversation.team().key(),
                Deployment.MODEL.model(),
                Optional.of(conversation.tenant()),
                conversation.ask(question)));
    waiting.put(record, conversation);
  }

  private void onEnded(CallerRecord record) {
    Conversation conversation = waiting.remove(record);
    boolean goesOn =
        conversation != null
            && record.state() == CallerRecord.State.COMPLETE
            && conversation.turns() < MAXIMUM_TURNS;
    if (goesOn && record instanceof ChatRecord chat) {
      conversation.answered(chat.text());
      idle.add(conversation);
      if (idle.size() > MAXIMUM_IDLE) {
        idle.remove(0);
      }
    }
  }
}

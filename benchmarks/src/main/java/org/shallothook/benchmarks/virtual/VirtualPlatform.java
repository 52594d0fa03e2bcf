package org.shallothook.benchmarks.virtual;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.standins.fault.RequestFault;
import org.shallothook.standins.instances.InstanceListModel;
import org.shallothook.standins.log.AppendResult;
import org.shallothook.standins.log.LogModel;
import org.shallothook.standins.log.LogSettings;
import org.shallothook.standins.weights.WeightStoreModel;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.membership.InstanceList;

/**
 * The platform's log, instance list and weight store as processes reach them.
 *
 * <p>Faults of the platform are set on the models; a failure domain can be cut off from it.
 *
 * <p>Not thread-safe.
 */
public final class VirtualPlatform {
  private static final long APPEND_MICROS = 2_000;
  private static final long TIMEOUT_MICROS = 500_000;
  private static final int PAGE_RECORDS = 1_000;

  private final VirtualNetwork network;
  private final LogModel log;
  private final InstanceListModel instances;
  private final WeightStoreModel weights;
  private final Map<String, Long> cutUntilMicros = new HashMap<>();
  private long appends;

  VirtualPlatform(VirtualNetwork network, InstanceListModel instances, LogSettings logSettings) {
    this.network = network;
    this.instances = instances;
    log = new LogModel(logSettings);
    weights = new WeightStoreModel(600_000, 4);
  }

  /** Returns the log. */
  public LogModel log() {
    return log;
  }

  /** Returns the list of instances. */
  public InstanceListModel instances() {
    return instances;
  }

  /** Returns the weight store. */
  public WeightStoreModel weights() {
    return weights;
  }

  /** Returns the number of appends that processes asked for. */
  public long appends() {
    return appends;
  }

  /** Cuts a failure domain off from the platform until a time. */
  public void cut(String failureDomain, long untilMicros) {
    cutUntilMicros.put(failureDomain, untilMicros);
  }

  void readLog(
      VirtualProcess process, String stream, long from, Consumer<Optional<LogPage>> answer) {
    reach(
        process,
        0,
        log.disturbances(),
        now -> log.read(stream, from, PAGE_RECORDS, now),
        answer,
        () -> answer.accept(Optional.empty()));
  }

  void append(
      VirtualProcess process,
      String stream,
      String payload,
      LongConsumer appended,
      Consumer<Boolean> failed) {
    appends++;
    reach(
        process,
        APPEND_MICROS,
        log.disturbances(),
        now -> log.append(stream, payload, now),
        answer -> settle(answer, appended, failed),
        () -> failed.accept(true));
  }

  private static void settle(AppendResult answer, LongConsumer appended, Consumer<Boolean> failed) {
    if (answer.fault() == RequestFault.SERVED) {
      appended.accept(answer.offset().orElseThrow());
    } else {
      failed.accept(answer.fault().isConnectionLost());
    }
  }

  void readInstances(VirtualProcess process, long knownVersion, Consumer<InstanceList> answer) {
    reach(
        process,
        0,
        instances.disturbances(),
        now ->
            instances.disturbances().faultOf(false, now) == RequestFault.SERVED
                ? instances.read(knownVersion, now)
                : Optional.<InstanceList>empty(),
        list -> list.ifPresent(answer),
        () -> {});
  }

  private <T> void reach(
      VirtualProcess process,
      long serviceMicros,
      InjectedFaults disturbances,
      Operation<T> operation,
      Consumer<T> answer,
      Runnable unreachable) {
    EventQueue queue = process.queue();
    if (queue.nowMicros() < cutUntilMicros.getOrDefault(process.failureDomain(), 0L)) {
      process.after(TIMEOUT_MICROS, unreachable);
      return;
    }
    long latency = network.jittered(network.latencies().toPlatform());
    long arrival = disturbances.resumedAtMicros(queue.nowMicros() + latency);
    long incarnation = process.incarnation();
    queue.at(
        arrival,
        () -> {
          T result = operation.run(queue.nowMicros());
          long answeredAt = disturbances.responseAtMicros(queue.nowMicros()) + serviceMicros;
          if (process.incarnation() == incarnation) {
            process.at(answeredAt + latency, () -> answer.accept(result));
          }
        });
  }

  private interface Operation<T> {
    T run(long nowMicros);
  }
}

package org.shallothook.coordination.sidecar;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.order.RoleAssignment;
import org.shallothook.state.configuration.ConfigurationRecord;
import org.shallothook.state.configuration.ConfigurationRecordText;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;

/**
 * Simulates sidecar processes of one engine over a log, in virtual time. Several processes can run
 * at once, and can be suspended.
 */
final class RoleChangeSimulation {
  static final String SELF = "engine-1";
  private static final List<String> ENGINES = List.of(SELF, "engine-2", "engine-3");

  final FakeRoleEngine engine;
  final Set<SidecarHarness> suspended = new HashSet<>();
  boolean isLogDown;
  private final List<SidecarHarness> sidecars = new ArrayList<>();
  private final List<LogRecord> configuration = new ArrayList<>();
  private final String model;

  RoleChangeSimulation(boolean checksFencing) {
    engine = new FakeRoleEngine(checksFencing);
    model = modelThatReservesSelf();
  }

  /** Starts a sidecar process with a connected router. */
  SidecarHarness startSidecar() {
    SidecarHarness sidecar =
        new SidecarHarness(SidecarOptions.builder(SELF, sidecars.size() + 1L).region("r"));
    sidecar.nowMicros = sidecars.isEmpty() ? sidecar.nowMicros : sidecars.get(0).nowMicros;
    sidecars.add(sidecar);
    sidecar.receive(new PeerMessage.Hello(InstanceRole.ROUTER, "a"));
    sidecar.handle(new SidecarEvent.InstancesRead(list()));
    return sidecar;
  }

  /** Publishes a template that reserves the given number of engines for priority work. */
  void publish(int priorityEngines) {
    append(source(model, priorityEngines));
  }

  /** Advances the time of all processes. Suspended processes handle no events. */
  void run(long micros) {
    for (long passed = 0; passed < micros; passed += SidecarCore.TICK_INTERVAL_MICROS) {
      for (SidecarHarness sidecar : sidecars) {
        step(sidecar);
      }
    }
  }

  /** Returns the role that a sidecar last reported to its router. */
  static EngineRole reportedRole(SidecarHarness sidecar) {
    List<PeerMessage.SidecarStatus> statuses = sidecar.sent(PeerMessage.SidecarStatus.class);
    return statuses.get(statuses.size() - 1).role();
  }

  private void step(SidecarHarness sidecar) {
    if (suspended.contains(sidecar)) {
      sidecar.nowMicros += SidecarCore.TICK_INTERVAL_MICROS;
      return;
    }
    int from = sidecar.commands.size();
    sidecar.pass(SidecarCore.TICK_INTERVAL_MICROS);
    while (from < sidecar.commands.size()) {
      execute(sidecar, sidecar.commands.get(from));
      from++;
    }
  }

  private void execute(SidecarHarness sidecar, SidecarCommand command) {
    if (command instanceof SidecarCommand.ReadLog read) {
      sidecar.handle(isLogDown ? new SidecarEvent.LogReadFailed(read.stream()) : page(read));
    } else if (command instanceof SidecarCommand.AppendLog append) {
      sidecar.handle(new SidecarEvent.LogAppendFailed(append.token(), false));
    } else if (command instanceof SidecarCommand.ReadEngineStatus) {
      sidecar.handle(engine.status());
    } else if (command instanceof SidecarCommand.OrderRole order) {
      sidecar.handle(new SidecarEvent.RoleOrderAnswered(order, engine.handle(order)));
    }
  }

  private SidecarEvent.LogRead page(SidecarCommand.ReadLog read) {
    List<LogRecord> records =
        read.stream().equals("configuration") ? configuration : List.<LogRecord>of();
    int start = (int) Math.min(records.size(), read.fromOffset());
    return new SidecarEvent.LogRead(
        new LogPage(read.stream(), 0, records.size(), records.subList(start, records.size())));
  }

  private void append(String source) {
    configuration.add(record(configuration.size(), source));
  }

  private static LogRecord record(long offset, String source) {
    ConfigurationRecord.Change change =
        new ConfigurationRecord.Change("c" + offset, offset, "a", Optional.of(source));
    return new LogRecord(offset, 0, ConfigurationRecordText.write(change));
  }

  private static String source(String model, int priorityEngines) {
    return "[team]\nname = a\nkey-sha256 = "
        + "a".repeat(64)
        + "\nmodel = "
        + model
        + "\nversion = v1\npriority = priority\n"
        + (priorityEngines > 0 ? "priority-engines = " + priorityEngines : "");
  }

  private static InstanceList list() {
    return new InstanceList(
        1,
        ENGINES.stream()
            .map(
                name ->
                    new Instance(
                        name, InstanceRole.MODEL_ENGINE, "127.0.0.1:1", "a", "r", "", false))
            .toList());
  }

  /** Returns a model name for which the assignment reserves this engine. */
  private static String modelThatReservesSelf() {
    Map<String, String> regions = Map.of(SELF, "r", "engine-2", "r", "engine-3", "r");
    for (int number = 0; ; number++) {
      String model = "linen-" + number;
      ConfigurationState state = ConfigurationState.EMPTY.fold(record(0, source(model, 1))).state();
      if (RoleAssignment.priorityEngines(state, regions, 4).contains(SELF)) {
        return model;
      }
    }
  }
}

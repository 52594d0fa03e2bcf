package org.shallothook.benchmarks.virtual;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.shallothook.coordination.sidecar.CacheChange;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.standins.cache.CacheFeedPage;
import org.shallothook.standins.engine.EngineListener;
import org.shallothook.standins.engine.EngineModel;
import org.shallothook.standins.engine.EngineRequest;
import org.shallothook.standins.engine.OrderResult;
import org.shallothook.standins.engine.StartResult;
import org.shallothook.standins.fault.RequestFault;
import org.shallothook.standins.store.CacheStoreModel;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.request.AttemptId;

/** A model engine beside its sidecar. Not thread-safe. */
final class EngineLink implements UpstreamLink, EngineListener {
  private static final long TRANSFER_MICROS_PER_BLOCK = 2_000;

  private final VirtualFleet fleet;
  private final VirtualSidecar sidecar;
  private final EngineModel model;
  private final CacheStoreModel store;
  private final Map<String, AttemptId> running = new HashMap<>();
  private long pumpedUntilMicros = EngineModel.NEVER;

  EngineLink(VirtualFleet fleet, VirtualSidecar sidecar, EngineModel model, CacheStoreModel store) {
    this.fleet = fleet;
    this.sidecar = sidecar;
    this.model = model;
    this.store = store;
  }

  @Override
  public void carryOut(SidecarCommand command) {
    if (command instanceof SidecarCommand.StartAnswer start) {
      reach(() -> start(start));
    } else if (command instanceof SidecarCommand.CancelAnswer cancel) {
      reach(() -> cancel(cancel.attempt()));
    } else if (command instanceof SidecarCommand.PauseAnswer pause) {
      reach(() -> model.setPaused(pause.attempt().toString(), pause.isPaused()));
    } else if (command instanceof SidecarCommand.ReadEngineStatus) {
      reach(this::readStatus);
    } else if (command instanceof SidecarCommand.ReadCacheChanges read) {
      reach(() -> readChanges(read.fromSequence()));
    } else if (command instanceof SidecarCommand.ListCache) {
      reach(this::listCache);
    } else if (command instanceof SidecarCommand.OrderModelVersion order) {
      reach(() -> order(order));
    } else if (command instanceof SidecarCommand.OrderRole order) {
      reach(() -> order(order));
    } else if (command instanceof SidecarCommand.TransferBlocks transfer) {
      reach(() -> transfer(transfer));
    }
  }

  private void reach(Runnable action) {
    long latency = fleet.latencies().toUpstream();
    EventQueue queue = fleet.queue();
    long arrival = model.disturbances().resumedAtMicros(queue.nowMicros() + latency);
    queue.at(
        arrival,
        () -> {
          model.advanceTo(queue.nowMicros(), this);
          action.run();
          pump();
        });
  }

  private void answer(SidecarEvent event) {
    long delay = model.disturbances().responseAtMicros(now()) - now();
    sidecar.after(fleet.latencies().toUpstream() + delay, () -> sidecar.handle(event));
  }

  private long now() {
    return fleet.queue().nowMicros();
  }

  private boolean isUnreachable() {
    return model.isDown() || model.disturbances().isDown(now());
  }

  private void start(SidecarCommand.StartAnswer start) {
    String id = start.attempt().toString();
    if (isUnreachable()) {
      answer(new SidecarEvent.EngineFailed(start.attempt(), false, "unreachable"));
      return;
    }
    EngineRequest request =
        new EngineRequest(
            id,
            start.identity(),
            start.priority() == PriorityClass.PRIORITY ? 0 : 1,
            start.keys(),
            start.prompt(),
            start.resumePosition(),
            start.maximumOutputTokens());
    StartResult result = model.start(request, now());
    if (result != StartResult.STARTED) {
      answer(new SidecarEvent.EngineFailed(start.attempt(), false, result.name()));
      return;
    }
    running.put(id, start.attempt());
    fleet.ledger().started(sidecar.name(), start, model.settings(), now());
  }

  private void cancel(AttemptId attempt) {
    running.remove(attempt.toString());
    model.cancel(attempt.toString(), now());
  }

  private void readStatus() {
    if (isUnreachable()) {
      answer(new SidecarEvent.EngineUnreachable());
      return;
    }
    answer(
        new SidecarEvent.EngineStatus(
            model.incarnation(),
            model.loaded(),
            model.reportedRunning(now()),
            model.settings().maximumRunning(),
            model.lastFencing(),
            model.isLeaving(),
            model.role()));
  }

  private void readChanges(long fromSequence) {
    if (isUnreachable()) {
      answer(new SidecarEvent.EngineUnreachable());
      return;
    }
    CacheFeedPage page = model.cacheChanges(fromSequence, now());
    List<CacheChange> changes =
        page.changes().stream()
            .map(change -> new CacheChange(change.key(), change.isStored()))
            .toList();
    answer(new SidecarEvent.CacheChanged(model.incarnation(), page.firstSequence(), changes));
  }

  private void listCache() {
    if (isUnreachable()) {
      answer(new SidecarEvent.EngineUnreachable());
      return;
    }
    answer(
        new SidecarEvent.CacheListed(
            model.incarnation(), model.nextCacheSequence(), model.cachedKeys()));
  }

  private void order(SidecarCommand.OrderModelVersion order) {
    RequestFault fault = model.disturbances().faultOf(true, now());
    if (isUnreachable() || !fault.takesEffect()) {
      answer(new SidecarEvent.OrderAnswered(order.fencing(), Optional.empty()));
      return;
    }
    ModelVersion version = order.modelVersion();
    OrderResult result =
        order.isLoad()
            ? model.orderLoad(order.fencing(), version)
            : model.orderUnload(order.fencing(), version, now());
    if (result == OrderResult.FETCH_WEIGHTS) {
      fetchWeights(version);
    }
    boolean isTaken = result == OrderResult.TAKEN || result == OrderResult.FETCH_WEIGHTS;
    Optional<Boolean> seen = fault == RequestFault.SERVED ? Optional.of(isTaken) : Optional.empty();
    answer(new SidecarEvent.OrderAnswered(order.fencing(), seen));
  }

  private void order(SidecarCommand.OrderRole order) {
    RequestFault fault = model.disturbances().faultOf(true, now());
    if (isUnreachable() || !fault.takesEffect()) {
      answer(new SidecarEvent.RoleOrderAnswered(order, Optional.empty()));
      return;
    }
    boolean isTaken = model.orderRole(order.fencing(), order.role()) == OrderResult.TAKEN;
    Optional<Boolean> seen = fault == RequestFault.SERVED ? Optional.of(isTaken) : Optional.empty();
    answer(new SidecarEvent.RoleOrderAnswered(order, seen));
  }

  private void fetchWeights(ModelVersion version) {
    OptionalLong end = fleet.platform().weights().begin(now());
    if (end.isEmpty()) {
      model.finishLoad(version, false);
    } else {
      fleet.queue().at(end.getAsLong(), () -> model.finishLoad(version, true));
    }
  }

  private void transfer(SidecarCommand.TransferBlocks transfer) {
    if (isUnreachable()) {
      answer(new SidecarEvent.TransferEnded(transfer.token(), List.of()));
      return;
    }
    long duration = TRANSFER_MICROS_PER_BLOCK * transfer.keys().size();
    fleet
        .queue()
        .after(
            duration,
            () -> {
              List<BlockKey> done = transfer.isImport() ? importAll(transfer) : export(transfer);
              answer(new SidecarEvent.TransferEnded(transfer.token(), done));
            });
  }

  private List<BlockKey> importAll(SidecarCommand.TransferBlocks transfer) {
    List<BlockKey> found =
        transfer.keys().stream()
            .takeWhile(key -> store.get(transfer.identity(), key).isPresent())
            .toList();
    return model.importBlocks(transfer.identity(), found, now());
  }

  private List<BlockKey> export(SidecarCommand.TransferBlocks transfer) {
    List<BlockKey> found = model.exportBlocks(transfer.identity(), transfer.keys());
    found.forEach(key -> store.put(transfer.identity(), key, new byte[0], now()));
    return found;
  }

  private void pump() {
    long next = model.nextEventMicros();
    if (next == EngineModel.NEVER || next >= pumpedUntilMicros) {
      return;
    }
    pumpedUntilMicros = next;
    fleet
        .queue()
        .at(
            next,
            () -> {
              if (pumpedUntilMicros <= now()) {
                pumpedUntilMicros = EngineModel.NEVER;
              }
              model.advanceTo(now(), this);
              pump();
            });
  }

  @Override
  public void prefilled(String id, int cachedBlocks, long atMicros) {
    fleet.ledger().prefilled(sidecar.name(), id, cachedBlocks, atMicros);
  }

  @Override
  public void token(String id, int position, String text, long atMicros) {
    AttemptId attempt = running.get(id);
    if (attempt != null) {
      answer(new SidecarEvent.EngineTokens(attempt, position, 1, text));
    }
  }

  @Override
  public void ended(String id, int position, String finishReason, int cachedBlocks, long atMicros) {
    AttemptId attempt = running.remove(id);
    if (attempt != null) {
      answer(new SidecarEvent.EngineEnded(attempt, position, finishReason, cachedBlocks));
    }
  }

  @Override
  public void lost(String id, long atMicros) {
    AttemptId attempt = running.remove(id);
    if (attempt != null) {
      answer(new SidecarEvent.EngineFailed(attempt, true, "connection lost"));
    }
  }

  @Override
  public void sidecarStopped() {
    Map<String, AttemptId> open = new LinkedHashMap<>(running);
    running.clear();
    reach(() -> open.keySet().stream().sorted().forEach(id -> model.cancel(id, now())));
  }

  @Override
  public void crash() {
    model.advanceTo(now(), this);
    model.crash(now(), this);
    pump();
  }

  @Override
  public void setLeaving(boolean isLeaving) {
    model.setLeaving(isLeaving);
  }
}

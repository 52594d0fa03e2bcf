package org.shallothook.sidecar;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.transport.platform.EngineClient;
import org.shallothook.transport.platform.EngineClientSettings;
import org.shallothook.transport.platform.HttpClient;
import org.shallothook.transport.platform.ServiceClient;
import org.shallothook.transport.settings.CommonKeys;
import org.shallothook.transport.settings.Settings;

/**
 * Executes the commands that the sidecar sends to its upstream, a model engine or a service.
 *
 * <p>Thread-safe.
 */
final class UpstreamClient {
  private static final Duration STREAM_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

  private final InstanceRole role;
  private final EngineClient engine;
  private final ServiceClient service;

  UpstreamClient(
      Settings settings, InstanceRole role, HttpClient client, Consumer<SidecarEvent> events) {
    this.role = role;
    InetSocketAddress address = settings.address(SidecarSettings.UPSTREAM);
    String store =
        settings
            .optionalAddress(SidecarSettings.CACHE_STORE)
            .map(found -> found.getAddress().getHostAddress() + ":" + found.getPort())
            .orElse("");
    engine =
        new EngineClient(
            client,
            new EngineClientSettings(
                address,
                store,
                settings.number(CommonKeys.BLOCK_BYTES),
                STREAM_TIMEOUT,
                TRANSFER_TIMEOUT,
                STATUS_TIMEOUT),
            events);
    service = new ServiceClient(client, address, CALL_TIMEOUT, STATUS_TIMEOUT, events);
  }

  void carryOut(SidecarCommand command) {
    if (command instanceof SidecarCommand.StartAnswer start) {
      engine.start(start);
    } else if (command instanceof SidecarCommand.CancelAnswer cancel) {
      engine.cancel(cancel.attempt());
    } else if (command instanceof SidecarCommand.PauseAnswer pause) {
      engine.pause(pause.attempt(), pause.isPaused());
    } else if (command instanceof SidecarCommand.ReadEngineStatus) {
      readStatus();
    } else if (command instanceof SidecarCommand.ReadCacheChanges read) {
      engine.readCacheChanges(read.fromSequence());
    } else if (command instanceof SidecarCommand.ListCache) {
      engine.listCache();
    } else if (command instanceof SidecarCommand.OrderModelVersion order) {
      engine.order(order);
    } else if (command instanceof SidecarCommand.OrderRole order) {
      engine.order(order);
    } else if (command instanceof SidecarCommand.TransferBlocks transfer) {
      engine.transfer(transfer);
    } else if (command instanceof SidecarCommand.CallService call) {
      service.call(call);
    }
  }

  private void readStatus() {
    if (role == InstanceRole.SERVICE) {
      service.readStatus();
    } else {
      engine.readStatus();
    }
  }
}

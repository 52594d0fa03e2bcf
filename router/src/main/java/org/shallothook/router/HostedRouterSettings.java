package org.shallothook.router;

import java.util.List;
import java.util.stream.Stream;
import org.shallothook.transport.settings.HostedKeys;
import org.shallothook.transport.settings.SettingKey;

/**
 * Settings of a router on a hosting platform.
 *
 * <p>Stateless and thread-safe.
 */
final class HostedRouterSettings {
  /** All settings of the settings file. */
  static final List<SettingKey> KEYS =
      Stream.concat(
              HostedKeys.COMMON.stream(),
              Stream.of(
                  RouterSettings.LISTEN_CALLERS,
                  HostedKeys.LEAVE_MILLIS,
                  HostedKeys.VERSION_MILLIS,
                  HostedKeys.SETTLING_MILLIS,
                  HostedKeys.ORDER_TURN_MILLIS,
                  HostedKeys.STOP_SECONDS,
                  HostedKeys.RETRY_SHARE,
                  HostedKeys.RETRY_SLACK,
                  HostedKeys.RETRY_WINDOW_SECONDS))
          .toList();

  private HostedRouterSettings() {}
}

package org.shallothook.router;

import java.util.List;
import java.util.stream.Stream;
import org.shallothook.transport.settings.HostedKeys;
import org.shallothook.transport.settings.SettingKey;
import org.shallothook.transport.settings.SettingType;

/**
 * Settings of a router on a hosting platform.
 *
 * <p>Stateless and thread-safe.
 */
final class HostedRouterSettings {
  /** Memory for request bodies and responses, in kibibytes; 0 for the default. */
  static final SettingKey HELD_KIBIBYTES =
      SettingKey.withDefault(
          "memory",
          "held-kibibytes",
          SettingType.AMOUNT,
          "0",
          "Memory for request bodies and for responses that wait for their callers, in KiB; 0 for"
              + " half of the direct memory.");

  /** Whether servers that have started or recovered get a window. */
  static final SettingKey PACE =
      SettingKey.withDefault(
          "placement",
          "pace",
          SettingType.SWITCH,
          "false",
          "Whether the requests of all routers at a server that has started or recovered are"
              + " limited until it responds in time.");

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
                  HostedKeys.RETRY_WINDOW_SECONDS,
                  HostedKeys.LEARNED_SPEEDS,
                  HostedKeys.ALLOWANCE_WINDOW_SECONDS,
                  HostedKeys.ALLOWANCE_OVERSHOOT,
                  HostedKeys.ALLOWANCE_SLACK,
                  HELD_KIBIBYTES,
                  PACE))
          .toList();

  private HostedRouterSettings() {}
}

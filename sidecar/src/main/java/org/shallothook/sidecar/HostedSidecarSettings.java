package org.shallothook.sidecar;

import java.util.List;
import java.util.stream.Stream;
import org.shallothook.transport.settings.HostedKeys;
import org.shallothook.transport.settings.SettingKey;
import org.shallothook.transport.settings.SettingType;

/**
 * Settings of a sidecar on a hosting platform.
 *
 * <p>Stateless and thread-safe.
 */
final class HostedSidecarSettings {
  static final SettingKey UPSTREAM =
      SettingKey.required(
          "upstream",
          "address",
          SettingType.ADDRESS,
          "Address of the model server that this sidecar manages.");

  /** All settings of the settings file. */
  static final List<SettingKey> KEYS =
      Stream.concat(HostedKeys.COMMON.stream(), Stream.of(HostedKeys.VERSION_MILLIS, UPSTREAM))
          .toList();

  private HostedSidecarSettings() {}
}

package org.shallothook.sidecar;

import java.util.List;
import java.util.stream.Stream;
import org.shallothook.transport.settings.CommonKeys;
import org.shallothook.transport.settings.SettingKey;
import org.shallothook.transport.settings.SettingType;

/**
 * Settings of the sidecar.
 *
 * <p>Stateless and thread-safe.
 */
final class SidecarSettings {
  static final SettingKey ROLE =
      SettingKey.required("upstream", "role", SettingType.NAME, "What the upstream is.")
          .oneOf(List.of("model-engine", "cache-store", "service"));
  static final SettingKey UPSTREAM =
      SettingKey.required(
          "upstream", "address", SettingType.ADDRESS, "Where the upstream listens.");
  static final SettingKey SERVICE =
      SettingKey.withDefault(
              "upstream",
              "service",
              SettingType.NAME,
              "none",
              "Name of the service; none where the upstream is no service.")
          .requiredWhere(ROLE, "service");
  static final SettingKey CACHE_STORE =
      SettingKey.withDefault(
          "upstream",
          "cache-store",
          SettingType.OPTIONAL_ADDRESS,
          "none",
          "IP:port of the KV-cache store; none where there is none.");
  static final SettingKey MAXIMUM_QUEUE =
      SettingKey.withDefault(
          "admission",
          "maximum-queue",
          SettingType.POSITIVE,
          "256",
          "Requests that wait for the engine at most.");

  static final SettingKey BOOKING_WINDOW_SECONDS =
      SettingKey.withDefault(
          "bookings",
          "window-seconds",
          SettingType.POSITIVE,
          "1800",
          "Time for which an Idempotency-Key is remembered; the same in the whole fleet.");
  static final SettingKey BOOKING_PARTITIONS =
      SettingKey.withDefault(
          "bookings",
          "partitions",
          SettingType.POSITIVE,
          "64",
          "Streams of the log that hold claims; the same in the whole fleet, never changed.");
  static final SettingKey VERSIONS_PER_ENGINE =
      SettingKey.withDefault(
          "orders",
          "versions-per-engine",
          SettingType.POSITIVE,
          "4",
          "Model versions that an engine is to have at most.");

  /** All settings of the sidecar's settings file. */
  static final List<SettingKey> KEYS =
      Stream.concat(
              CommonKeys.ALL.stream(),
              Stream.of(
                  ROLE,
                  UPSTREAM,
                  SERVICE,
                  CACHE_STORE,
                  MAXIMUM_QUEUE,
                  BOOKING_WINDOW_SECONDS,
                  BOOKING_PARTITIONS,
                  VERSIONS_PER_ENGINE))
          .toList();

  private SidecarSettings() {}
}

package org.shallothook.transport.settings;

import java.util.List;

/**
 * Settings that routers and sidecars share.
 *
 * <p>Stateless and thread-safe.
 */
public final class CommonKeys {
  public static final SettingKey NAME =
      SettingKey.required(
          "instance", "name", SettingType.NAME, "Name of the instance, as in the instance list.");
  public static final SettingKey FAILURE_DOMAIN =
      SettingKey.required(
          "instance", "failure-domain", SettingType.NAME, "Failure domain of the instance.");
  public static final SettingKey REGION =
      SettingKey.required("instance", "region", SettingType.NAME, "Region of the instance.");
  public static final SettingKey LISTEN_PEERS =
      SettingKey.required(
          "listen", "peers", SettingType.ADDRESS, "Where other instances connect to.");
  public static final SettingKey LISTEN_ADMIN =
      SettingKey.required(
          "listen", "admin", SettingType.ADDRESS, "Where operators connect to; keep it private.");
  public static final SettingKey LOG =
      SettingKey.required("platform", "log", SettingType.ADDRESS, "The platform's log service.");
  public static final SettingKey INSTANCES =
      SettingKey.required(
          "platform", "instances", SettingType.ADDRESS, "The platform's list of instances.");
  public static final SettingKey LOG_RETENTION_SECONDS =
      SettingKey.withDefault(
          "platform",
          "log-retention-seconds",
          SettingType.POSITIVE,
          "3600",
          "Time for which the platform's log surely keeps a record.");
  public static final SettingKey BLOCK_BYTES =
      SettingKey.withDefault(
          "cache",
          "block-bytes",
          SettingType.POSITIVE,
          "4000",
          "Bytes of prompt in a cached block; the same in the whole fleet.");
  public static final SettingKey RING_SIZE =
      SettingKey.withDefault(
          "decisions",
          "ring-size",
          SettingType.RING_SIZE,
          "8192",
          "Events that wait for a decision at most; a power of two.");
  public static final SettingKey LOG_FORM =
      SettingKey.withDefault("logging", "form", SettingType.NAME, "text", "Form of log lines.")
          .oneOf(List.of("text", "json"));
  public static final SettingKey LOG_LEVEL =
      SettingKey.withDefault("logging", "level", SettingType.NAME, "info", "Least level written.")
          .oneOf(List.of("debug", "info", "warn", "error"));

  /** All settings of this class. */
  public static final List<SettingKey> ALL =
      List.of(
          NAME,
          FAILURE_DOMAIN,
          REGION,
          LISTEN_PEERS,
          LISTEN_ADMIN,
          LOG,
          INSTANCES,
          LOG_RETENTION_SECONDS,
          BLOCK_BYTES,
          RING_SIZE,
          LOG_FORM,
          LOG_LEVEL);

  private CommonKeys() {}
}

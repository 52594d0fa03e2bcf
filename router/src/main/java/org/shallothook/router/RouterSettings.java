package org.shallothook.router;

import java.util.List;
import java.util.stream.Stream;
import org.shallothook.transport.settings.CommonKeys;
import org.shallothook.transport.settings.SettingKey;
import org.shallothook.transport.settings.SettingType;

/**
 * Settings of the router.
 *
 * <p>Stateless and thread-safe.
 */
final class RouterSettings {
  static final SettingKey LISTEN_CALLERS =
      SettingKey.required(
          "listen", "callers", SettingType.ADDRESS, "Where the platform's balancer connects to.");
  static final SettingKey BODY_LIMIT_BYTES =
      SettingKey.withDefault(
          "callers",
          "body-limit-bytes",
          SettingType.POSITIVE,
          "4000000",
          "Greatest size of a request's body, in bytes.");
  static final SettingKey FIRST_TOKEN_MILLIS =
      SettingKey.withDefault(
          "callers",
          "first-token-millis",
          SettingType.POSITIVE,
          "30000",
          "Time to the first token after which a request is given up, in milliseconds, unless the"
              + " caller names a deadline.");
  static final SettingKey RETRY_SHARE =
      SettingKey.withDefault(
          "retries",
          "share",
          SettingType.SHARE,
          "0.1",
          "Retries allowed, as a share of recent successes.");
  static final SettingKey EJECTION_SHARE =
      SettingKey.withDefault(
          "ejection",
          "greatest-share",
          SettingType.SHARE,
          "0.3",
          "Share of a model's upstreams that may be ejected as slow.");

  /** All settings of the router's settings file. */
  static final List<SettingKey> KEYS =
      Stream.concat(
              CommonKeys.ALL.stream(),
              Stream.of(
                  LISTEN_CALLERS,
                  BODY_LIMIT_BYTES,
                  FIRST_TOKEN_MILLIS,
                  RETRY_SHARE,
                  EJECTION_SHARE))
          .toList();

  private RouterSettings() {}
}

package org.shallothook.transport.settings;

import java.util.List;

/**
 * Settings that only processes on a hosting platform have.
 *
 * <p>Stateless and thread-safe.
 */
public final class HostedKeys {
  public static final SettingKey STORE =
      SettingKey.required("store", "address", SettingType.ADDRESS, "The platform's store.");
  public static final SettingKey LISTEN_METRICS =
      SettingKey.required(
          "listen", "metrics", SettingType.ADDRESS, "Where the platform reads metrics.");
  public static final SettingKey LEAVE_MILLIS =
      SettingKey.withDefault(
          "bounds",
          "leave-millis",
          SettingType.DURATION,
          "2000",
          "Time after which no request may reach a leaving server, in milliseconds.");
  public static final SettingKey CONFIGURATION_MILLIS =
      SettingKey.withDefault(
          "bounds",
          "configuration-millis",
          SettingType.DURATION,
          "2000",
          "Time after which a configuration must be in force, in milliseconds.");
  public static final SettingKey VERSION_MILLIS =
      SettingKey.withDefault(
          "bounds",
          "version-millis",
          SettingType.DURATION,
          "8000",
          "Time after which no request may begin on older weights, in milliseconds.");
  public static final SettingKey SETTLING_MILLIS =
      SettingKey.withDefault(
          "bounds",
          "settling-millis",
          SettingType.DURATION,
          "3000",
          "Time after a start from which on a process must keep the other bounds, in"
              + " milliseconds.");
  public static final SettingKey STOP_SECONDS =
      SettingKey.withDefault(
          "bounds",
          "stop-seconds",
          SettingType.DURATION,
          "8",
          "Time between the signal to stop and the end of the process, in seconds.");
  public static final SettingKey RETRY_SHARE =
      SettingKey.withDefault(
          "retries",
          "share",
          SettingType.SHARE,
          "0.1",
          "Retries allowed to all routers together, as a share of requests to a service.");
  public static final SettingKey RETRY_SLACK =
      SettingKey.withDefault(
          "retries",
          "slack",
          SettingType.AMOUNT,
          "10",
          "Retries allowed to all routers together beyond that share.");
  public static final SettingKey RETRY_WINDOW_SECONDS =
      SettingKey.withDefault(
          "retries",
          "window-seconds",
          SettingType.DURATION,
          "10",
          "Length of the window in which retries are counted, in seconds.");

  public static final SettingKey LEARNED_SPEEDS =
      SettingKey.withDefault(
          "placement",
          "learned-speeds",
          SettingType.SWITCH,
          "false",
          "Whether prompts are placed by how fast each server has proved to be.");

  public static final SettingKey ALLOWANCE_WINDOW_SECONDS =
      SettingKey.withDefault(
          "allowances",
          "window-seconds",
          SettingType.DURATION,
          "8",
          "Length of the window in which the use of a team's allowance is bounded, in seconds.");
  public static final SettingKey ALLOWANCE_OVERSHOOT =
      SettingKey.withDefault(
          "allowances",
          "overshoot",
          SettingType.SHARE,
          "0.1",
          "Part by which all routers together may exceed an allowance in a window.");
  public static final SettingKey ALLOWANCE_SLACK =
      SettingKey.withDefault(
          "allowances",
          "slack",
          SettingType.AMOUNT,
          "0",
          "Requests or tokens by which they may exceed it beyond that part.");

  public static final SettingKey ORDER_TURN_MILLIS =
      SettingKey.withDefault(
          "bounds",
          "order-turn-millis",
          SettingType.DURATION,
          "3000",
          "Minimum time between orders of different holders to one server, in milliseconds.");

  /** Settings that routers and sidecars on a hosting platform have in common. */
  public static final List<SettingKey> COMMON =
      List.of(
          CommonKeys.NAME,
          CommonKeys.FAILURE_DOMAIN,
          CommonKeys.REGION,
          CommonKeys.LISTEN_PEERS,
          CommonKeys.LISTEN_ADMIN,
          LISTEN_METRICS,
          CommonKeys.RING_SIZE,
          CommonKeys.LOG_FORM,
          CommonKeys.LOG_LEVEL,
          STORE,
          CONFIGURATION_MILLIS);

  private HostedKeys() {}
}

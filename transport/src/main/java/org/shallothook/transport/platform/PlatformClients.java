package org.shallothook.transport.platform;

import java.time.Duration;
import java.util.function.Consumer;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.transport.settings.CommonKeys;
import org.shallothook.transport.settings.Settings;

/**
 * Clients of the platform services that every process uses: the log and the instance list.
 *
 * <pre>{@code
 * PlatformClients platform = PlatformClients.create(settings, client, events, lists, counters);
 * platform.log().read("configuration", 0);
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 *
 * @param log client of the log
 * @param instances client of the instance list
 */
public record PlatformClients(LogClient log, InstanceListClient instances) {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /**
   * Creates clients for the addresses in the settings.
   *
   * @param settings settings of the process
   * @param client sends the requests
   * @param logListener receives the results of log requests
   * @param listListener receives each instance list that was read
   * @param counters counts failures
   */
  public static PlatformClients create(
      Settings settings,
      HttpClient client,
      LogListener logListener,
      Consumer<InstanceList> listListener,
      Counters counters) {
    return new PlatformClients(
        new LogClient(client, settings.address(CommonKeys.LOG), TIMEOUT, logListener, counters),
        new InstanceListClient(
            client, settings.address(CommonKeys.INSTANCES), TIMEOUT, listListener, counters));
  }
}

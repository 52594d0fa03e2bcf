package org.shallothook.standins;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.shallothook.standins.http.Standin;
import org.shallothook.standins.http.StandinClient;
import org.shallothook.standins.http.StandinClock;
import org.shallothook.standins.http.StandinServer;
import org.shallothook.standins.settings.SettingsException;
import org.shallothook.standins.settings.SettingsFile;
import org.shallothook.standins.settings.SettingsSection;
import org.tinylog.Logger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Starts stand-ins of the platform and the upstreams from an INI file.
 *
 * <p>Thread-safe: all stand-ins of a process share one event loop.
 */
@Command(
    name = "standins",
    mixinStandardHelpOptions = true,
    description = "Starts stand-ins of the platform and the upstreams.",
    footer = {
      "Examples:",
      "  standins --settings standins.ini",
      "  standins --settings standins.ini --only engine-1,log",
      "Exit codes: 0 ended by a signal, 1 an address cannot be opened, 2 settings are wrong."
    })
public final class StandinsMain implements Callable<Integer> {
  private static final int START_FAILED = 1;
  private static final int SETTINGS_WRONG = 2;

  @Option(names = "--settings", required = true, description = "INI file, a section a stand-in.")
  private Path settings;

  @Option(names = "--only", split = ",", description = "Names of the sections to start.")
  private List<String> only = List.of();

  /** Runs the command line and ends the process. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new StandinsMain()).execute(arguments));
  }

  @Override
  public Integer call() throws InterruptedException {
    EventLoopGroup loop = new NioEventLoopGroup(1);
    List<StandinServer> servers;
    try {
      servers = serversOf(loop);
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      return SETTINGS_WRONG;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> Runtime.getRuntime().halt(0)));
    for (StandinServer server : servers) {
      try {
        server.start();
      } catch (Exception e) {
        Logger.error(
            "standins: {} cannot listen on {}: {}; free the address or change the settings",
            server.name(),
            server.address(),
            e.getMessage());
        Runtime.getRuntime().halt(START_FAILED);
      }
    }
    Logger.info("standins: {} started", servers.size());
    new CountDownLatch(1).await();
    return 0;
  }

  private List<StandinServer> serversOf(EventLoopGroup loop) {
    List<SettingsSection> sections = SettingsFile.read(settings);
    StandinClock clock = new StandinClock();
    StandinFactory factory =
        new StandinFactory(new StandinClient(loop), clock, InstanceSections.read(sections));
    List<StandinServer> servers = new ArrayList<>();
    Set<String> wanted = Set.copyOf(only);
    for (SettingsSection section : sections) {
      if (InstanceSections.isInstance(section)) {
        continue;
      }
      Standin standin = factory.create(section);
      InetSocketAddress address =
          section
              .address("listen")
              .orElseThrow(() -> section.problem("listen", "is missing; write IP:port."));
      Optional<InetSocketAddress> control = section.address("control");
      section.requireNoOtherKeys();
      if (wanted.isEmpty() || wanted.contains(section.name())) {
        servers.add(new StandinServer(loop, clock, section.name(), standin, address, control));
      }
    }
    requireKnown(wanted, sections);
    return servers;
  }

  private void requireKnown(Set<String> wanted, List<SettingsSection> sections) {
    List<String> names = sections.stream().map(SettingsSection::name).toList();
    for (String name : wanted) {
      if (!names.contains(name)) {
        throw new SettingsException(
            settings.toString(), name, "--only", "no such section; use one of " + names + ".");
      }
    }
  }
}

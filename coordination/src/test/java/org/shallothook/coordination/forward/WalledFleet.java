package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.shallothook.coordination.origin.SoftwareVersion;
import org.shallothook.state.route.CallerTeam;
import org.shallothook.state.route.PromptOutline;
import org.shallothook.state.route.PromptOutline.Part;
import org.shallothook.state.route.RouteTable;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.ServiceTraits.CacheStore;

/**
 * Routers with teams that become isolated, and servers that keep who made each part of a prompt.
 *
 * <p>Parts are found under the salt that came with the request, whoever made them, as long as all
 * parts before them are found too. They stay for good. Not thread-safe.
 */
final class WalledFleet {
  /** Tokens of each part that prompts share. */
  static final int SHARED_PART_TOKENS = 3_000;

  private static final int OWN_TOKENS = 200;
  private static final CacheStore STORE = new CacheStore("10.0.9.1:80", "domain-a", 100_000);

  private static final List<ServerEntry> ENGINES =
      List.of(ForwardHarness.engine("engine-1", 1, 1), ForwardHarness.engine("engine-2", 2, 1));

  /** Place from which servers take parts; they are found nowhere else. */
  enum Place {
    SERVER {
      @Override
      List<String> sources(Dispatch dispatch) {
        return List.of(dispatch.address());
      }

      @Override
      Optional<String> target(Dispatch dispatch) {
        return Optional.of(dispatch.address());
      }
    },
    /** Any server, as if the request named just the one that has the part. */
    COPY_OF_ANOTHER_SERVER {
      @Override
      List<String> sources(Dispatch dispatch) {
        return ENGINES.stream().map(ServerEntry::address).toList();
      }

      @Override
      Optional<String> target(Dispatch dispatch) {
        return Optional.of(dispatch.address());
      }
    },
    /** The store; servers lose their parts after each request. */
    STORE {
      @Override
      List<String> sources(Dispatch dispatch) {
        return List.of(WalledFleet.STORE.address());
      }

      @Override
      Optional<String> target(Dispatch dispatch) {
        return dispatch.saveTo();
      }
    };

    abstract List<String> sources(Dispatch dispatch);

    abstract Optional<String> target(Dispatch dispatch);
  }

  /** A part behind the parts before it, as a server looks for it. */
  private record Key(String salt, List<String> leading) {}

  /**
   * A published configuration.
   *
   * @param version its version
   * @param isolated the isolated teams
   * @param names names of the teams that it has, by the name that each had first
   */
  private record Configuration(long version, Set<String> isolated, Map<String, String> names) {}

  /** A router with the newest configuration that it has read. */
  private static final class Router {
    private final ForwardHarness harness = new ForwardHarness();
    private final Map<Long, PromptOutline> prompts = new HashMap<>();
    private final Map<Long, String> teams = new HashMap<>();
    private Configuration read = new Configuration(0, Set.of(), Map.of());
    private int handled;
  }

  private final Place place;
  private final List<Configuration> published = new ArrayList<>();
  private final List<Router> routers = new ArrayList<>();
  private final Map<String, Map<Key, String>> makers = new HashMap<>();
  private final Set<List<String>> read = new HashSet<>();
  private final Map<String, Integer> readAgain = new HashMap<>();
  private final List<String> crossings = new ArrayList<>();
  private int asked;
  private int used;

  /** Creates routers that have read a configuration in which no team is isolated. */
  WalledFleet(Place place, int routers, Set<String> teams) {
    this.place = place;
    Map<String, String> names = new TreeMap<>();
    teams.forEach(team -> names.put(team, team));
    published.add(new Configuration(1, Set.of(), names));
    for (int index = 0; index < routers; index++) {
      this.routers.add(new Router());
      restart(index);
    }
  }

  /** Publishes a configuration with these isolated teams, which no router reads by itself. */
  void publish(Set<String> isolatedTeams) {
    publish(isolatedTeams, newest().names());
  }

  /** Publishes a configuration in which the key of a team belongs to a team of another name. */
  void publishRenamed(String team, String name, Set<String> isolatedTeams) {
    Map<String, String> names = new TreeMap<>(newest().names());
    names.put(team, name);
    publish(isolatedTeams, names);
  }

  /** Publishes a configuration without a team, which is not isolated by it either. */
  void publishWithout(String team) {
    Map<String, String> names = new TreeMap<>(newest().names());
    names.remove(team);
    Set<String> isolated = new TreeSet<>(newest().isolated());
    isolated.remove(team);
    publish(isolated, names);
  }

  private void publish(Set<String> isolatedTeams, Map<String, String> names) {
    published.add(new Configuration(published.size() + 1, Set.copyOf(isolatedTeams), names));
  }

  private Configuration newest() {
    return published.get(published.size() - 1);
  }

  /** Lets a router read the newest configuration. */
  void read(int index) {
    read(index, newest());
  }

  /** Lets a router read the configuration before the newest one. */
  void readEarlier(int index) {
    read(index, published.get(Math.max(0, published.size() - 2)));
  }

  private void read(int index, Configuration configuration) {
    Router router = routers.get(index);
    List<CallerTeam> teams = new ArrayList<>();
    configuration
        .names()
        .forEach(
            (team, name) ->
                teams.add(
                    new CallerTeam(
                        name,
                        List.of(keyOf(team)),
                        Optional.empty(),
                        configuration.isolated().contains(team),
                        Optional.empty())));
    RouteTable table =
        ForwardHarness.routeTable(configuration.version(), Optional.of(STORE), teams);
    if (configuration.version() > router.read.version()) {
      router.read = configuration;
    }
    router.harness.handle(new ForwardEvent.RoutesRead(table));
    handleCommands(router);
  }

  /** Starts a router anew, which knows nothing but the newest configuration. */
  void restart(int index) {
    Router router = new Router();
    routers.set(index, router);
    read(index);
    router.harness.handle(new ForwardEvent.RegistryReachable(true));
    router.harness.handle(new ForwardEvent.ServersRead(ENGINES, true));
    SoftwareVersion software = new SoftwareVersion("engines", ForwardHarness.SOFTWARE);
    router.harness.handle(new ForwardEvent.SoftwareDeclared(Map.of(software, Optional.of(1L))));
    router.harness.handle(new ForwardEvent.OriginsRead(router.harness.now()));
  }

  /** Sends a request of a team through a router and lets it complete. */
  void ask(int index, String team, String register) {
    long request = open(index, team, register);
    begin(index, request);
    complete(index, request);
    routers.get(index).harness.advance(PrefixAnnouncements.INTERVAL_MICROS * 2);
    handleCommands(routers.get(index));
  }

  /** Opens a request whose prompt shares all parts but the last with others of the register. */
  long open(int index, String team, String register) {
    return open(index, team, register, "/draft/1", Optional.empty());
  }

  /** Opens a request for a stream that can be resumed, as {@link #open} does. */
  long openResumable(int index, String team, String register) {
    return open(index, team, register, "/ask/1", Optional.empty());
  }

  /** Lets a caller take up a stream of a request behind an event, through any router. */
  long resume(int index, String team, String register, long lastEvent) {
    return open(index, team, register, "/ask/1", Optional.of(lastEvent));
  }

  private long open(
      int index, String team, String register, String target, Optional<Long> lastEvent) {
    Router router = routers.get(index);
    PromptOutline prompt =
        ForwardHarness.promptOf(register, "own-" + asked++, SHARED_PART_TOKENS * 2, OWN_TOKENS);
    long request =
        router.harness.request(target, Optional.of(keyOf(team)), Optional.of(prompt), lastEvent);
    router.prompts.put(request, prompt);
    router.teams.put(request, team);
    handleCommands(router);
    return request;
  }

  /** Lets something happen at a router. */
  void happen(int index, Consumer<ForwardHarness> event) {
    event.accept(routers.get(index).harness);
    handleCommands(routers.get(index));
  }

  boolean isSent(int index, long request) {
    return routers.get(index).harness.sent(request).isPresent();
  }

  /** Returns what was sent to the server of a request. */
  Dispatch dispatch(int index, long request) {
    return routers.get(index).harness.sent(request).orElseThrow().dispatch();
  }

  void begin(int index, long request) {
    routers.get(index).harness.respond(request, 200);
    handleCommands(routers.get(index));
  }

  void complete(int index, long request) {
    routers.get(index).harness.complete(request);
    handleCommands(routers.get(index));
  }

  /**
   * Returns the uses of parts across the wall, by the configuration that their router had read. A
   * team is whoever presents its key, whatever its name.
   */
  List<String> crossings() {
    return List.copyOf(crossings);
  }

  /** Returns how many parts were found rather than read. */
  int used() {
    return used;
  }

  /** Returns the tokens of shared parts that were read before, and that a team's requests read. */
  int readAgainTokens(String team) {
    return readAgain.getOrDefault(team, 0);
  }

  private void handleCommands(Router router) {
    List<ForwardCommand> commands = router.harness.commands;
    while (router.handled < commands.size()) {
      ForwardCommand command = commands.get(router.handled++);
      if (command instanceof ForwardCommand.Send send) {
        prefill(router, send);
      } else if (command instanceof ForwardCommand.AnnouncePrefixes announced) {
        routers.stream()
            .filter(other -> other != router)
            .forEach(
                other ->
                    other.harness.handle(
                        new ForwardEvent.PrefixesAnnounced(
                            announced.server(), announced.prefixHashes())));
      }
    }
  }

  private void prefill(Router router, ForwardCommand.Send send) {
    Dispatch dispatch = send.dispatch();
    String team = router.teams.get(send.request());
    List<Part> parts = router.prompts.get(send.request()).parts();
    List<String> leading = new ArrayList<>();
    boolean isLeading = true;
    for (Part part : parts) {
      leading.add(part.id());
      Key key = new Key(dispatch.cacheSalt().orElse(""), List.copyOf(leading));
      Optional<String> maker = isLeading ? makerOf(key, dispatch) : Optional.empty();
      isLeading = maker.isPresent();
      if (maker.isPresent()) {
        used++;
        recordUse(router, team, maker.get(), key);
      } else if (!read.add(key.leading())) {
        readAgain.merge(team, part.tokens(), Integer::sum);
      }
      place
          .target(dispatch)
          .ifPresent(
              target ->
                  makers
                      .computeIfAbsent(target, holder -> new HashMap<>())
                      .putIfAbsent(key, maker.orElse(team)));
    }
  }

  private void recordUse(Router router, String team, String maker, Key key) {
    Set<String> isolated = router.read.isolated();
    boolean isAcross = isolated.contains(team) || isolated.contains(maker);
    if (!maker.equals(team) && isAcross) {
      crossings.add(team + " uses " + key + " made by " + maker);
    }
  }

  private Optional<String> makerOf(Key key, Dispatch dispatch) {
    return place.sources(dispatch).stream()
        .flatMap(
            holder -> Optional.ofNullable(makers.getOrDefault(holder, Map.of()).get(key)).stream())
        .findFirst();
  }

  private static String keyOf(String team) {
    return "key-" + team;
  }
}

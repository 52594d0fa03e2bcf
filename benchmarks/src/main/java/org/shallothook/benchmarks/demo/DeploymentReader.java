package org.shallothook.benchmarks.demo;

import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * Reads an example deployment from its folder: {@code settings/*.ini} and {@code demo.ini}.
 *
 * <p>Stateless and thread-safe.
 */
public final class DeploymentReader {
  private static final String TEAM_PREFIX = "team ";

  private DeploymentReader() {}

  /**
   * Reads a deployment.
   *
   * @param folder folder of the deployment
   * @throws UncheckedIOException if a file cannot be read
   */
  public static ExampleDeployment read(Path folder) {
    List<ExampleDeployment.Router> routers = new ArrayList<>();
    List<ExampleDeployment.Upstream> upstreams = new ArrayList<>();
    Set<String> services = new LinkedHashSet<>();
    for (Path file : settingsFiles(folder)) {
      Map<String, Map<String, String>> sections = sections(file);
      String name = sections.get("instance").get("name");
      Map<String, String> listen = sections.get("listen");
      Map<String, String> upstream = sections.get("upstream");
      if (upstream == null) {
        routers.add(new ExampleDeployment.Router(name, listen.get("callers"), listen.get("admin")));
        continue;
      }
      upstreams.add(
          new ExampleDeployment.Upstream(
              name,
              upstream.get("role"),
              listen.get("admin"),
              upstream.get("address"),
              listen.get("peers")));
      if (upstream.containsKey("service")) {
        services.add(upstream.get("service"));
      }
    }
    return new ExampleDeployment(
        String.valueOf(folder.getFileName()),
        routers,
        teams(sections(folder.resolve("demo.ini"))),
        List.copyOf(services),
        upstreams);
  }

  private static List<ExampleDeployment.Team> teams(Map<String, Map<String, String>> sections) {
    List<ExampleDeployment.Team> teams = new ArrayList<>();
    sections.forEach(
        (section, keys) ->
            teams.add(
                new ExampleDeployment.Team(
                    section.substring(TEAM_PREFIX.length()),
                    keys.get("key"),
                    keys.get("model"),
                    List.of(keys.get("tenants").split(" ", -1)))));
    teams.sort((first, second) -> first.name().compareTo(second.name()));
    return teams;
  }

  private static List<Path> settingsFiles(Path folder) {
    try (Stream<Path> files = Files.list(folder.resolve("settings"))) {
      return files.sorted().toList();
    } catch (IOException e) {
      throw new UncheckedIOException("No settings in " + folder + "; name a deployment.", e);
    }
  }

  private static Map<String, Map<String, String>> sections(Path file) {
    INIConfiguration configuration = new INIConfiguration();
    try (Reader reader = Files.newBufferedReader(file)) {
      configuration.read(reader);
    } catch (IOException e) {
      throw new UncheckedIOException("Cannot read " + file + ".", e);
    } catch (ConfigurationException e) {
      throw new IllegalStateException("Cannot parse " + file + ".", e);
    }
    Map<String, Map<String, String>> sections = new HashMap<>();
    ImmutableNode root = configuration.getNodeModel().getNodeHandler().getRootNode();
    for (ImmutableNode section : root.getChildren()) {
      Map<String, String> keys = new HashMap<>();
      section
          .getChildren()
          .forEach(key -> keys.put(key.getNodeName(), String.valueOf(key.getValue())));
      sections.put(section.getNodeName(), keys);
    }
    return sections;
  }
}

package org.shallothook.state.configuration;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.apache.commons.text.StringSubstitutor;
import org.shallothook.state.cache.ModelVersion;

/**
 * Parses and validates a team's template in INI format.
 *
 * <pre>{@code
 * [team]
 * name = altar-linen
 * key-sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
 * model = linen-8b
 * version = 3
 * [parameters]
 * week = 2026-W49
 * [rulebook]
 * text = Register of ${week}
 * text = Second line of the same text
 * }</pre>
 *
 * <p>Invariant: equal texts give equal results. Stateless and thread-safe.
 */
public final class TemplateParser {
  private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern SECTION_NAME = Pattern.compile("[^\\s\\[\\]][^\\[\\]]{0,99}");
  private static final String TENANT_PREFIX = "tenant ";
  private static final String SERVICE_PREFIX = "service ";
  private static final Set<String> FIXED_SECTIONS =
      Set.of("team", "parameters", "rulebook", "limits");

  private final IniDocument document;
  private final Map<String, String> parameters = new HashMap<>();

  private TemplateParser(IniDocument document) {
    this.document = document;
  }

  /** Returns the template, or the first error in the text. */
  public static Either<ConfigurationError, TeamTemplate> parse(String text) {
    return IniDocument.parse(text)
        .flatMap(
            document -> {
              try {
                return Either.right(new TemplateParser(document).read());
              } catch (IniSection.InvalidIniException e) {
                return Either.left(e.error());
              }
            });
  }

  private TeamTemplate read() {
    requireKnownSections();
    readParameters();
    IniSection team = new IniSection(document, "team");
    String name = team.name("name");
    String digest = team.matching("key-sha256", SHA_256, "Expected 64 lower-case hex digits.");
    ModelVersion version =
        new ModelVersion(
            team.name("model"), team.name("version"), team.optional("adapter").orElse(""));
    PriorityClass priority = priority(team);
    int priorityEngines = priorityEngines(team, priority);
    team.requireAllRead();
    return new TeamTemplate(
        name,
        digest,
        version,
        text("rulebook"),
        tenants(),
        priority,
        limits(),
        services(),
        priorityEngines);
  }

  private void requireKnownSections() {
    for (String section : document.sectionNames()) {
      boolean isKnown =
          FIXED_SECTIONS.contains(section)
              || hasNamePrefix(section, TENANT_PREFIX)
              || (hasNamePrefix(section, SERVICE_PREFIX) && section.indexOf('|') < 0);
      if (!isKnown) {
        String shown = section.isEmpty() ? "(before the first section)" : section;
        throw new IniSection.InvalidIniException(
            new ConfigurationError(
                ConfigurationError.Kind.UNKNOWN_SECTION,
                shown,
                "",
                "",
                "A template has no section with this name."));
      }
    }
  }

  private static boolean hasNamePrefix(String section, String prefix) {
    return section.startsWith(prefix)
        && SECTION_NAME.matcher(section.substring(prefix.length())).matches();
  }

  private void readParameters() {
    IniSection section = new IniSection(document, "parameters");
    for (String key : document.section("parameters").keySet()) {
      parameters.put(key, section.optional(key).orElse(""));
    }
  }

  private static PriorityClass priority(IniSection team) {
    Optional<String> value = team.optional("priority");
    if (value.isEmpty()) {
      return PriorityClass.ORDINARY;
    }
    return switch (value.get()) {
      case "priority" -> PriorityClass.PRIORITY;
      case "ordinary" -> PriorityClass.ORDINARY;
      default ->
          throw team.invalid(
              ConfigurationError.Kind.INVALID_VALUE,
              "priority",
              value.get(),
              "Expected 'priority' or 'ordinary'.");
    };
  }

  private static int priorityEngines(IniSection team, PriorityClass priority) {
    String key = "priority-engines";
    int engines = team.positive(key, 0);
    if (engines > 0 && priority != PriorityClass.PRIORITY) {
      throw team.invalid(
          ConfigurationError.Kind.INVALID_VALUE,
          key,
          Integer.toString(engines),
          "Only a team with priority = priority may reserve engines.");
    }
    return engines;
  }

  private String text(String name) {
    IniSection section = new IniSection(document, name);
    String text = section.text("text");
    section.requireAllRead();
    if (text.indexOf('$') < 0) {
      return text;
    }
    StringSubstitutor substitutor = new StringSubstitutor(parameters);
    substitutor.setEnableUndefinedVariableException(true);
    substitutor.setDisableSubstitutionInValues(true);
    substitutor.setValueDelimiter("");
    try {
      return substitutor.replace(text);
    } catch (IllegalArgumentException e) {
      throw section.invalid(
          ConfigurationError.Kind.UNDEFINED_PARAMETER,
          "text",
          e.getMessage(),
          "The parameter is not defined.");
    }
  }

  private Map<String, String> tenants() {
    Map<String, String> tenants = new LinkedHashMap<>();
    for (String section : document.sectionNames()) {
      if (section.startsWith(TENANT_PREFIX)) {
        tenants.put(section.substring(TENANT_PREFIX.length()), text(section));
      }
    }
    return tenants;
  }

  private TeamLimits limits() {
    IniSection section = new IniSection(document, "limits");
    TeamLimits defaults = TeamLimits.DEFAULT;
    TeamLimits limits =
        new TeamLimits(
            section.positive("maximum-prompt-bytes", defaults.maximumPromptBytes()),
            section.positive("maximum-output-tokens", defaults.maximumOutputTokens()),
            section.positive("maximum-concurrent-requests", defaults.maximumConcurrentRequests()));
    section.requireAllRead();
    return limits;
  }

  private Map<String, ServiceTemplate> services() {
    Map<String, ServiceTemplate> services = new LinkedHashMap<>();
    for (String section : document.sectionNames()) {
      if (section.startsWith(SERVICE_PREFIX)) {
        String name = section.substring(SERVICE_PREFIX.length());
        services.put(name, service(name, new IniSection(document, section)));
      }
    }
    return services;
  }

  private static ServiceTemplate service(String name, IniSection section) {
    Set<String> paths = paths(section.optional("repeatable-paths").orElse(""));
    ServiceTemplate service =
        new ServiceTemplate(name, paths, section.flag("checks-fencing", false));
    section.requireAllRead();
    return service;
  }

  private static Set<String> paths(String list) {
    List<String> paths = Arrays.asList(list.split("[,\\s]+"));
    return paths.stream()
        .map(path -> path.startsWith("/") ? path.substring(1) : path)
        .filter(path -> !path.isEmpty())
        .collect(Collectors.toUnmodifiableSet());
  }
}

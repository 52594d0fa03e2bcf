package org.shallothook.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;
import org.shallothook.standins.settings.SettingsSection;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;

/** Reads the instances of the list from sections {@code [instance:NAME]}. Stateless. */
final class InstanceSections {
  private static final String PREFIX = "instance:";

  private InstanceSections() {}

  static boolean isInstance(SettingsSection section) {
    return section.name().startsWith(PREFIX);
  }

  static List<Instance> read(List<SettingsSection> sections) {
    List<Instance> instances = new ArrayList<>();
    for (SettingsSection section : sections) {
      if (isInstance(section)) {
        instances.add(instanceOf(section));
      }
    }
    return instances;
  }

  private static Instance instanceOf(SettingsSection section) {
    Instance instance =
        new Instance(
            section.name().substring(PREFIX.length()),
            roleOf(section),
            section.requiredText("address"),
            section.requiredText("failure_domain"),
            section.text("region").orElse(""),
            section.text("service").orElse(""),
            section.flag("leaving", false));
    section.requireNoOtherKeys();
    return instance;
  }

  private static InstanceRole roleOf(SettingsSection section) {
    String role = section.requiredText("role");
    Optional<InstanceRole> found =
        Stream.of(InstanceRole.values())
            .filter(candidate -> nameOf(candidate).equals(role))
            .findFirst();
    return found.orElseThrow(
        () ->
            section.problem(
                "role",
                "found '" + role + "'; write router, model-engine, cache-store or service."));
  }

  private static String nameOf(InstanceRole role) {
    return role.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}

package org.shallothook.standins.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.convert.DisabledListDelimiterHandler;
import org.apache.commons.configuration2.ex.ConfigurationException;

/** Parses INI settings files. Stateless and thread-safe. */
public final class SettingsFile {
  private SettingsFile() {}

  /**
   * Returns the sections of a file in file order.
   *
   * @throws SettingsException if the file cannot be read or is not valid INI
   */
  public static List<SettingsSection> read(Path path) {
    INIConfiguration configuration = new INIConfiguration();
    configuration.setListDelimiterHandler(DisabledListDelimiterHandler.INSTANCE);
    configuration.setSeparatorUsedInInput("=");
    try (Reader reader = Files.newBufferedReader(path)) {
      configuration.read(reader);
    } catch (IOException | ConfigurationException e) {
      throw new SettingsException(
          path.toString(), "", "", "cannot be read as INI (" + e.getMessage() + "); check it.");
    }
    List<SettingsSection> sections = new ArrayList<>();
    for (String name : configuration.getSections()) {
      if (name != null) {
        sections.add(
            new SettingsSection(path.toString(), name, valuesOf(configuration.getSection(name))));
      }
    }
    return sections;
  }

  private static Map<String, String> valuesOf(SubnodeConfiguration section) {
    Map<String, String> values = new LinkedHashMap<>();
    Iterator<String> keys = section.getKeys();
    while (keys.hasNext()) {
      String key = keys.next();
      values.put(key, String.valueOf(section.getProperty(key)).trim());
    }
    return values;
  }
}

package org.shallothook.benchmarks.virtual;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;

/**
 * A team of a virtual fleet, and the template that stands for it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name name of the team; its key is {@code key-} and the name
 * @param modelVersion model version that it uses
 * @param priority class of service
 * @param rulebook shared text, on one line
 * @param tenants texts of the tenants by name, each on one line
 * @param service name of the service that the team may call, or the empty string
 * @param checksFencing whether that service checks fencing numbers
 */
public record TeamSpec(
    String name,
    ModelVersion modelVersion,
    PriorityClass priority,
    String rulebook,
    Map<String, String> tenants,
    String service,
    boolean checksFencing) {
  /** Path of the service that may be repeated. */
  public static final String REPEATABLE_PATH = "availability";

  public TeamSpec {
    tenants = new LinkedHashMap<>(tenants);
  }

  /** Returns the key that callers of the team send. */
  public String key() {
    return "key-" + name;
  }

  /** Returns the same team with another model version. */
  public TeamSpec withModelVersion(ModelVersion version) {
    return new TeamSpec(name, version, priority, rulebook, tenants, service, checksFencing);
  }

  /** Returns the template in INI. */
  public String template() {
    StringBuilder ini = new StringBuilder();
    ini.append("[team]\nname = ").append(name);
    ini.append("\nkey-sha256 = ").append(sha256(key()));
    ini.append("\nmodel = ").append(modelVersion.model());
    ini.append("\nversion = ").append(modelVersion.version());
    if (!modelVersion.adapter().isEmpty()) {
      ini.append("\nadapter = ").append(modelVersion.adapter());
    }
    ini.append("\npriority = ")
        .append(priority == PriorityClass.PRIORITY ? "priority" : "ordinary");
    if (!rulebook.isEmpty()) {
      ini.append("\n\n[rulebook]\ntext = ").append(rulebook);
    }
    tenants.forEach(
        (tenant, text) ->
            ini.append("\n\n[tenant ").append(tenant).append("]\ntext = ").append(text));
    if (!service.isEmpty()) {
      ini.append("\n\n[service ").append(service).append("]\nrepeatable-paths = ");
      ini.append(REPEATABLE_PATH).append("\nchecks-fencing = ").append(checksFencing);
    }
    return ini.append('\n').toString();
  }

  private static String sha256(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Every Java runtime provides SHA-256.", e);
    }
  }
}

package org.shallothook.protocol.platform;

import io.vavr.control.Either;
import java.util.Locale;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.protocol.json.JsonError;
import org.shallothook.protocol.json.JsonFields;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;

/**
 * Parses the platform's list of instances.
 *
 * <p>Stateless and thread-safe.
 */
public final class InstanceListParser {
  private InstanceListParser() {}

  /** Parses the body of a list. */
  public static Either<JsonError, InstanceList> read(String body) {
    return JsonDocument.read(
        body,
        fields ->
            new InstanceList(
                JsonValues.nonNegativeLong(fields, "version"),
                fields.objects("instances", InstanceListParser::instance)));
  }

  static Instance instance(JsonFields fields) {
    return new Instance(
        fields.string("name"),
        role(fields),
        fields.string("address"),
        fields.string("failure_domain"),
        fields.optionalString("region").orElse(""),
        fields.optionalString("service").orElse(""),
        fields.optionalBoolean("leaving").orElse(false));
  }

  private static InstanceRole role(JsonFields fields) {
    String text = fields.string("role");
    for (InstanceRole role : InstanceRole.values()) {
      if (role.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(text)) {
        return role;
      }
    }
    throw fields.reject("role", "'router', 'model-engine', 'cache-store' or 'service'");
  }
}

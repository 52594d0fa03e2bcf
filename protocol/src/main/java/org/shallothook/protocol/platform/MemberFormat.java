package org.shallothook.protocol.platform;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import io.vavr.control.Either;
import java.util.Locale;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.protocol.json.JsonError;
import org.shallothook.state.membership.Instance;

/**
 * Reads and writes the record in which a process publishes its address. It has the format of one
 * entry of the instance list.
 *
 * <p>Stateless and thread-safe.
 */
public final class MemberFormat {
  private static final Gson GSON = new Gson();

  private MemberFormat() {}

  /** Parses a record. */
  public static Either<JsonError, Instance> read(String document) {
    return JsonDocument.read(document, InstanceListParser::instance);
  }

  /** Returns the record of an instance. */
  public static String write(Instance instance) {
    JsonObject member = new JsonObject();
    member.addProperty("name", instance.name());
    member.addProperty("role", instance.role().name().toLowerCase(Locale.ROOT).replace('_', '-'));
    member.addProperty("address", instance.address());
    member.addProperty("failure_domain", instance.failureDomain());
    member.addProperty("region", instance.region());
    return GSON.toJson(member);
  }
}

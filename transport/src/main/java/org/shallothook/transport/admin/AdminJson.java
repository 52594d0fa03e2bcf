package org.shallothook.transport.admin;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonSerializer;
import java.util.Optional;

/**
 * Converts the admin port's values to JSON. Field names are in lower case with underscores, and an
 * empty {@code Optional} is left out.
 *
 * <p>Stateless and thread-safe.
 */
public final class AdminJson {
  private static final Gson GSON =
      new GsonBuilder()
          .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
          .registerTypeHierarchyAdapter(Optional.class, optionalSerializer())
          .disableHtmlEscaping()
          .create();

  private AdminJson() {}

  /** Returns the JSON text of a record, list, map, string or number. */
  public static String write(Object value) {
    return GSON.toJson(value);
  }

  /**
   * Reads a value written by {@link #write}.
   *
   * @throws com.google.gson.JsonSyntaxException if the text is not valid JSON for the type
   */
  public static <T> T read(String text, Class<T> type) {
    return GSON.fromJson(text, type);
  }

  private static JsonSerializer<Optional<?>> optionalSerializer() {
    return (value, type, context) -> context.serialize(value.orElse(null));
  }
}

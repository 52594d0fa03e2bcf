package org.shallothook.transport.admin;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonSerializer;
import java.util.Optional;

/**
 * JSON form of what the admin port shows: names in lower case with underscores, and nothing for an
 * empty {@code Optional}.
 *
 * <p>Stateless and thread-safe.
 */
public final class AdminJson {
  private static final Gson GSON =
      new GsonBuilder()
          .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
          .registerTypeHierarchyAdapter(Optional.class, optionalForm())
          .disableHtmlEscaping()
          .create();

  private AdminJson() {}

  /** Returns the JSON text of records, lists, maps, texts and numbers. */
  public static String write(Object value) {
    return GSON.toJson(value);
  }

  /**
   * Reads a value written by {@link #write}.
   *
   * @throws com.google.gson.JsonSyntaxException if the text is not of that form
   */
  public static <T> T read(String text, Class<T> type) {
    return GSON.fromJson(text, type);
  }

  private static JsonSerializer<Optional<?>> optionalForm() {
    return (value, type, context) -> context.serialize(value.orElse(null));
  }
}

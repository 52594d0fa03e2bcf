package org.shallothook.protocol.caller;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;

/**
 * Writes the response to {@code GET /v1/models}.
 *
 * <p>Stateless and thread-safe.
 */
public final class ModelListWriter {
  private static final Gson GSON = new Gson();

  private ModelListWriter() {}

  /** Returns the list of models in the OpenAI format. */
  public static String body(List<String> models) {
    JsonArray data = new JsonArray();
    for (String model : models) {
      JsonObject entry = new JsonObject();
      entry.addProperty("id", model);
      entry.addProperty("object", "model");
      data.add(entry);
    }
    JsonObject root = new JsonObject();
    root.addProperty("object", "list");
    root.add("data", data);
    return GSON.toJson(root);
  }
}

package org.shallothook.standins.http;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.util.List;
import java.util.Map;
import org.shallothook.standins.cache.CacheFeedPage;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.ModelVersion;

/** JSON forms shared by the stand-ins. Stateless and thread-safe. */
final class Json {
  private static final Gson GSON =
      new GsonBuilder()
          .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
          .disableHtmlEscaping()
          .create();

  private Json() {}

  /** Returns the body as an object; an empty body is an empty object. */
  static JsonObject objectOf(String body) {
    if (body.isBlank()) {
      return new JsonObject();
    }
    JsonElement element = JsonParser.parseString(body);
    if (!element.isJsonObject()) {
      throw new IllegalArgumentException("Send a JSON object.");
    }
    return element.getAsJsonObject();
  }

  /** Returns the body in a typed form. */
  static <T> T parse(String body, Class<T> type) {
    T value = GSON.fromJson(body, type);
    if (value == null) {
      throw new IllegalArgumentException("Send a JSON object.");
    }
    return value;
  }

  /** Returns the JSON form of a value. */
  static JsonElement of(Object value) {
    return GSON.toJsonTree(value);
  }

  /** Returns an object with one member. */
  static JsonObject object(String name, Object value) {
    JsonObject object = new JsonObject();
    object.add(name, of(value));
    return object;
  }

  /** Returns versions as an array of objects. */
  static JsonArray versions(List<ModelVersion> versions) {
    JsonArray array = new JsonArray();
    versions.forEach(version -> array.add(of(version)));
    return array;
  }

  /** Returns keys as an array of hexadecimal texts. */
  static JsonArray keys(List<BlockKey> keys) {
    JsonArray array = new JsonArray();
    keys.forEach(key -> array.add(new JsonPrimitive(key.toHex())));
    return array;
  }

  /** Returns a page of cache changes. */
  static JsonObject changes(String incarnation, CacheFeedPage page) {
    JsonArray changes = new JsonArray();
    for (CacheFeedPage.Change change : page.changes()) {
      JsonObject entry = object("key", change.key().toHex());
      entry.addProperty("stored", change.isStored());
      changes.add(entry);
    }
    JsonObject object = object("incarnation", incarnation);
    object.addProperty("first_sequence", page.firstSequence());
    object.add("changes", changes);
    return object;
  }

  /** Returns the list of a whole cache. */
  static JsonObject blocks(String incarnation, long nextSequence, List<BlockKey> keys) {
    JsonObject object = object("incarnation", incarnation);
    object.addProperty("next_sequence", nextSequence);
    object.add("keys", keys(keys));
    return object;
  }

  /** Returns the counters of faults. */
  static JsonObject state(InjectedFaults disturbances) {
    JsonObject object = new JsonObject();
    object.addProperty("refused", disturbances.refused());
    object.addProperty("dropped", disturbances.dropped());
    object.addProperty("answers_lost", disturbances.answersLost());
    return object;
  }

  /** Adds all members of a map to an object. */
  static JsonObject with(JsonObject object, String name, Map<String, ?> values) {
    object.add(name, of(values));
    return object;
  }
}

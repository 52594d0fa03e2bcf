package org.shallothook.protocol.platform;

import java.util.ArrayList;
import java.util.List;
import org.shallothook.protocol.json.JsonFields;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.ModelVersion;

/**
 * Parses values that occur in several of the platform's formats.
 *
 * <p>Stateless and thread-safe.
 */
final class JsonValues {
  private JsonValues() {}

  static long nonNegativeLong(JsonFields fields, String name) {
    long value = fields.longField(name);
    if (value < 0) {
      throw fields.reject(name, "zero or more");
    }
    return value;
  }

  static int nonNegativeInteger(JsonFields fields, String name) {
    int value = fields.integer(name);
    if (value < 0) {
      throw fields.reject(name, "zero or more");
    }
    return value;
  }

  static ModelVersion modelVersion(JsonFields fields) {
    String model = fields.string("model");
    String version = fields.string("version");
    if (model.isBlank()) {
      throw fields.reject("model", "the name of a model");
    }
    if (version.isBlank()) {
      throw fields.reject("version", "a version");
    }
    return new ModelVersion(model, version, fields.optionalString("adapter").orElse(""));
  }

  static BlockKey blockKey(JsonFields fields, String name) {
    return blockKey(fields, name, fields.string(name));
  }

  static List<BlockKey> blockKeys(JsonFields fields, String name) {
    List<BlockKey> keys = new ArrayList<>();
    for (String text : fields.strings(name)) {
      keys.add(blockKey(fields, name, text));
    }
    return keys;
  }

  private static BlockKey blockKey(JsonFields fields, String name, String text) {
    try {
      return BlockKey.fromHex(text);
    } catch (IllegalArgumentException e) {
      throw fields.reject(name, "made of " + BlockKey.HEX_DIGITS + " hexadecimal digits");
    }
  }
}

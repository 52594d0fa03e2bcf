package org.shallothook.protocol.platform;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.vavr.control.Either;
import java.util.List;
import org.shallothook.coordination.sidecar.CacheChange;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.protocol.json.JsonError;
import org.shallothook.protocol.json.JsonFields;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.request.AttemptId;

/**
 * Writes requests to a model engine and parses its responses.
 *
 * <p>Stateless and thread-safe.
 */
public final class EngineFormat {
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();
  private static final int PRIORITY_LEVEL = 0;
  private static final int ORDINARY_LEVEL = 1;
  private static final long FENCING_NOT_SUPPORTED = -1;

  private EngineFormat() {}

  /**
   * Returns the request identifier of an attempt on the engine. Each attempt of a request has its
   * own, so that a late cancellation of one attempt cannot cancel another.
   */
  public static String requestId(AttemptId attempt) {
    return attempt.request().value() + "." + attempt.number();
  }

  /**
   * Returns the body of the request that starts generation.
   *
   * @param start prompt and parameters of the attempt
   * @param blockBytes size of a cached block, in bytes
   */
  public static String start(SidecarCommand.StartAnswer start, int blockBytes) {
    JsonObject root = new JsonObject();
    root.addProperty("request_id", requestId(start.attempt()));
    addIdentity(root, start.identity());
    root.addProperty("prompt", start.prompt());
    root.addProperty("delivered_text", start.deliveredText());
    root.addProperty("resume_position", start.resumePosition());
    root.addProperty("max_tokens", start.maximumOutputTokens());
    root.addProperty(
        "priority", start.priority() == PriorityClass.PRIORITY ? PRIORITY_LEVEL : ORDINARY_LEVEL);
    root.add("block_keys", keys(start.keys()));
    root.addProperty("block_bytes", blockBytes);
    return GSON.toJson(root);
  }

  /** Returns the body of an order to load or unload a model version. */
  public static String order(SidecarCommand.OrderModelVersion order) {
    JsonObject root = new JsonObject();
    root.addProperty("fencing", order.fencing());
    root.addProperty("order", order.isLoad() ? "load" : "unload");
    addModelVersion(root, order.modelVersion());
    return GSON.toJson(root);
  }

  /** Returns the body of an order to change the engine's role. */
  public static String order(SidecarCommand.OrderRole order) {
    JsonObject root = new JsonObject();
    root.addProperty("fencing", order.fencing());
    root.addProperty("order", "role");
    root.addProperty("role", order.role().code());
    return GSON.toJson(root);
  }

  /**
   * Returns the body of a request to export or import blocks.
   *
   * @param transfer blocks to transfer
   * @param store address of the cache store, {@code IP:port}
   */
  public static String transfer(SidecarCommand.TransferBlocks transfer, String store) {
    JsonObject root = new JsonObject();
    root.addProperty("store", store);
    addIdentity(root, transfer.identity());
    root.add("keys", keys(transfer.keys()));
    return GSON.toJson(root);
  }

  /** Parses the keys of the blocks that were transferred. */
  public static Either<JsonError, List<BlockKey>> transferred(String body) {
    return JsonDocument.read(body, fields -> JsonValues.blockKeys(fields, "keys"));
  }

  /** Parses the status of an engine or cache store. */
  public static Either<JsonError, SidecarEvent.EngineStatus> status(String body) {
    return JsonDocument.read(
        body,
        fields ->
            new SidecarEvent.EngineStatus(
                fields.string("incarnation"),
                fields.objects("models", JsonValues::modelVersion),
                JsonValues.nonNegativeInteger(fields, "running"),
                JsonValues.nonNegativeInteger(fields, "maximum_running"),
                fields.longField("last_fencing"),
                fields.optionalBoolean("leaving").orElse(false),
                EngineRole.of(fields.optionalString("role").orElse(""))));
  }

  /** Parses the status of a service without models, which ignores fencing tokens. */
  public static Either<JsonError, SidecarEvent.EngineStatus> serviceStatus(String body) {
    return JsonDocument.read(
        body,
        fields ->
            new SidecarEvent.EngineStatus(
                fields.string("incarnation"),
                List.of(),
                0,
                0,
                FENCING_NOT_SUPPORTED,
                fields.optionalBoolean("leaving").orElse(false)));
  }

  /** Parses incremental changes of the cache's contents. */
  public static Either<JsonError, SidecarEvent.CacheChanged> cacheChanges(String body) {
    return JsonDocument.read(
        body,
        fields ->
            new SidecarEvent.CacheChanged(
                fields.string("incarnation"),
                JsonValues.nonNegativeLong(fields, "first_sequence"),
                fields.objects("changes", EngineFormat::cacheChange)));
  }

  /** Parses the list of all cached blocks. */
  public static Either<JsonError, SidecarEvent.CacheListed> cacheList(String body) {
    return JsonDocument.read(
        body,
        fields ->
            new SidecarEvent.CacheListed(
                fields.string("incarnation"),
                JsonValues.nonNegativeLong(fields, "next_sequence"),
                JsonValues.blockKeys(fields, "keys")));
  }

  private static CacheChange cacheChange(JsonFields fields) {
    boolean isStored =
        fields
            .optionalBoolean("stored")
            .orElseThrow(() -> fields.reject("stored", "true or false"));
    return new CacheChange(JsonValues.blockKey(fields, "key"), isStored);
  }

  private static void addIdentity(JsonObject root, CacheIdentity identity) {
    root.addProperty("team", identity.team());
    addModelVersion(root, identity.modelVersion());
  }

  private static void addModelVersion(JsonObject root, ModelVersion version) {
    root.addProperty("model", version.model());
    root.addProperty("version", version.version());
    root.addProperty("adapter", version.adapter());
  }

  private static JsonArray keys(List<BlockKey> keys) {
    JsonArray array = new JsonArray(keys.size());
    keys.forEach(key -> array.add(key.toHex()));
    return array;
  }
}

package org.shallothook.protocol.platform;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.shallothook.coordination.origin.RecordedStreams;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.protocol.json.JsonError;
import org.shallothook.protocol.json.JsonFields;

/**
 * Reads and writes the record in which a router states the software versions that began streams,
 * such as {@code {"at":1700000000000000,"begun":[{"version":"v1.2","requests":["a","b"]}]}}. The
 * time is in microseconds since the epoch.
 *
 * <p>Stateless and thread-safe.
 */
public final class RecordedStreamsFormat {
  private static final Gson GSON = new Gson();

  private RecordedStreamsFormat() {}

  /** Parses a record. */
  public static Either<JsonError, RecordedStreams> read(String document) {
    return JsonDocument.read(document, RecordedStreamsFormat::streams);
  }

  private static RecordedStreams streams(JsonFields fields) {
    Map<String, String> versions = new HashMap<>();
    fields.objects("begun", RecordedStreamsFormat::group).forEach(versions::putAll);
    return new RecordedStreams(fields.nonNegative("at"), versions);
  }

  private static Map<String, String> group(JsonFields fields) {
    String version = fields.string("version");
    Map<String, String> versions = new HashMap<>();
    fields.strings("requests").forEach(request -> versions.put(request, version));
    return versions;
  }

  /** Returns the record of streams. */
  public static String write(RecordedStreams streams) {
    Map<String, JsonArray> requests = new TreeMap<>();
    streams
        .versions()
        .forEach(
            (request, version) ->
                requests.computeIfAbsent(version, added -> new JsonArray()).add(request));
    JsonArray begun = new JsonArray();
    requests.forEach(
        (version, ids) -> {
          JsonObject group = new JsonObject();
          group.addProperty("version", version);
          group.add("requests", ids);
          begun.add(group);
        });
    JsonObject record = new JsonObject();
    record.addProperty("at", streams.recordedMicros());
    record.add("begun", begun);
    return GSON.toJson(record);
  }
}

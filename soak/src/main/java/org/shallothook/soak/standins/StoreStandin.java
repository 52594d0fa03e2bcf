package org.shallothook.soak.standins;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for the platform's store: single-partition topics, read by offset or as the newest
 * record of each key.
 *
 * <p>Invariant: offsets of a topic have no gaps; an acknowledged record stays readable.
 * Thread-safe: all state is accessed on the event loop.
 */
public final class StoreStandin {
  private static final int LENGTH_BYTES = 4;
  private static final int HEADER_BYTES = 16;

  private final EventLoopGroup loop;
  private final HttpStandin http;
  private final Map<String, Topic> topics = new HashMap<>();
  private StoreFault fault = StoreFault.NONE;

  /** A long-poll read that waits for the next record. */
  private record WaitingRead(StandinRequest call, int fromOffset) {}

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final Map<String, Integer> newest = new LinkedHashMap<>();
    private final List<WaitingRead> waiting = new ArrayList<>();
  }

  /** Starts an empty store. */
  public StoreStandin(EventLoopGroup loop) {
    this.loop = loop;
    this.http = new HttpStandin(loop, this::handle);
  }

  /** Returns the address that the store listens on. */
  public InetSocketAddress address() {
    return http.address();
  }

  /** Sets the fault of the store from now on. */
  public void setFault(StoreFault newFault) {
    loop.execute(() -> fault = newFault);
  }

  /** Appends a new value of a key, as the operator or a server does. */
  public void put(String topic, String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
    record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
    loop.execute(() -> append(topic, record.array()));
  }

  private void handle(StandinRequest call) {
    if (fault.intercepts(call)) {
      return;
    }
    if (call.is("POST", "/v1/log-append")) {
      appendAll(call);
    } else if (call.is("GET", "/v1/log-read")) {
      read(call);
    } else if (call.is("GET", "/v1/log-newest")) {
      readNewest(call);
    } else {
      call.respondJson(404, new JsonObject());
    }
  }

  private void appendAll(StandinRequest call) {
    String topic = call.query("topic");
    ByteBuffer records = ByteBuffer.wrap(call.body());
    JsonObject response = new JsonObject();
    response.addProperty("offset", topic(topic).records.size());
    while (records.remaining() >= LENGTH_BYTES) {
      byte[] record = new byte[records.getInt()];
      records.get(record);
      append(topic, record);
    }
    response.addProperty("end_offset", topic(topic).records.size());
    if (!fault.dropsAppendResponses()) {
      call.respondJson(200, response);
    }
  }

  private void append(String name, byte[] record) {
    Topic topic = topic(name);
    if (name.startsWith("keyed.")) {
      String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
      topic.newest.put(key, topic.records.size());
    }
    topic.records.add(record);
    List<WaitingRead> pending = List.copyOf(topic.waiting);
    topic.waiting.clear();
    pending.forEach(read -> respondToRead(read.call(), topic, read.fromOffset()));
  }

  private void read(StandinRequest call) {
    Topic topic = topic(call.query("topic"));
    int fromOffset = Integer.parseInt(call.query("from"));
    String waitMillis = call.query("wait_ms");
    if (fromOffset < topic.records.size() || waitMillis.isEmpty()) {
      respondToRead(call, topic, fromOffset);
      return;
    }
    WaitingRead waiting = new WaitingRead(call, fromOffset);
    topic.waiting.add(waiting);
    call.schedule(
        Long.parseLong(waitMillis),
        () -> {
          if (topic.waiting.remove(waiting)) {
            respondToRead(call, topic, fromOffset);
          }
        });
  }

  private static void respondToRead(StandinRequest call, Topic topic, int fromOffset) {
    List<byte[]> records =
        topic.records.subList(Math.min(fromOffset, topic.records.size()), topic.records.size());
    int bytes = records.stream().mapToInt(record -> LENGTH_BYTES + record.length).sum();
    ByteBuffer response = ByteBuffer.allocate(HEADER_BYTES + bytes);
    response.putLong(topic.records.size()).putLong(0);
    records.forEach(record -> response.putInt(record.length).put(record));
    call.respond(200, Map.of("Content-Type", "application/octet-stream"), response.array());
  }

  private void readNewest(StandinRequest call) {
    Topic topic = topic(call.query("topic"));
    JsonArray items = new JsonArray();
    topic.newest.forEach(
        (key, offset) -> {
          byte[] record = topic.records.get(offset);
          int start = 1 + record[0];
          if (record.length > start) {
            byte[] value = Arrays.copyOfRange(record, start, record.length);
            JsonObject item = new JsonObject();
            item.addProperty("key", key);
            item.addProperty("value", Base64.getEncoder().encodeToString(value));
            item.addProperty("offset", offset);
            items.add(item);
          }
        });
    JsonObject response = new JsonObject();
    response.add("items", items);
    response.addProperty("has_more", false);
    response.addProperty("end_offset", topic.records.size());
    call.respondJson(200, response);
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, unused -> new Topic());
  }
}

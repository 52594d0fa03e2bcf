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
 * The platform's store: topics of one partition, read by offset or as the newest record of a key.
 *
 * <p>Invariant: offsets of a topic have no gaps; a record that was acknowledged stays readable.
 * Thread-safe: everything runs on the loop.
 */
public final class StoreStandin {
  private static final int LENGTH_BYTES = 4;
  private static final int HEAD_BYTES = 16;

  private final EventLoopGroup loop;
  private final HttpStandin http;
  private final Map<String, Topic> topics = new HashMap<>();
  private StoreFault fault = StoreFault.NONE;

  /** A read that waits for the next record. */
  private record WaitingRead(HttpCall call, int from) {}

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final Map<String, Integer> newest = new LinkedHashMap<>();
    private final List<WaitingRead> waiting = new ArrayList<>();
  }

  /** Starts a store without records. */
  public StoreStandin(EventLoopGroup loop) {
    this.loop = loop;
    this.http = new HttpStandin(loop, this::handle);
  }

  /** Returns where the store listens. */
  public InetSocketAddress address() {
    return http.address();
  }

  /** Sets how the store fails from now on. */
  public void fail(StoreFault newFault) {
    loop.execute(() -> fault = newFault);
  }

  /** Writes the newest value of a key, as the operator or a server does. */
  public void put(String topic, String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
    record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
    loop.execute(() -> append(topic, record.array()));
  }

  private void handle(HttpCall call) {
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
      call.answerJson(404, new JsonObject());
    }
  }

  private void appendAll(HttpCall call) {
    String topic = call.query("topic");
    ByteBuffer records = ByteBuffer.wrap(call.body());
    JsonObject answer = new JsonObject();
    answer.addProperty("offset", topic(topic).records.size());
    while (records.remaining() >= LENGTH_BYTES) {
      byte[] record = new byte[records.getInt()];
      records.get(record);
      append(topic, record);
    }
    answer.addProperty("end_offset", topic(topic).records.size());
    if (!fault.losesAnswer()) {
      call.answerJson(200, answer);
    }
  }

  private void append(String name, byte[] record) {
    Topic topic = topic(name);
    if (name.startsWith("keyed.")) {
      String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
      topic.newest.put(key, topic.records.size());
    }
    topic.records.add(record);
    List<WaitingRead> woken = List.copyOf(topic.waiting);
    topic.waiting.clear();
    woken.forEach(read -> answerRead(read.call(), topic, read.from()));
  }

  private void read(HttpCall call) {
    Topic topic = topic(call.query("topic"));
    int from = Integer.parseInt(call.query("from"));
    String wait = call.query("wait_ms");
    if (from < topic.records.size() || wait.isEmpty()) {
      answerRead(call, topic, from);
      return;
    }
    WaitingRead waiting = new WaitingRead(call, from);
    topic.waiting.add(waiting);
    call.after(
        Long.parseLong(wait),
        () -> {
          if (topic.waiting.remove(waiting)) {
            answerRead(call, topic, from);
          }
        });
  }

  private static void answerRead(HttpCall call, Topic topic, int from) {
    List<byte[]> records =
        topic.records.subList(Math.min(from, topic.records.size()), topic.records.size());
    int bytes = records.stream().mapToInt(record -> LENGTH_BYTES + record.length).sum();
    ByteBuffer answer = ByteBuffer.allocate(HEAD_BYTES + bytes);
    answer.putLong(topic.records.size()).putLong(0);
    records.forEach(record -> answer.putInt(record.length).put(record));
    call.answer(200, Map.of("Content-Type", "application/octet-stream"), answer.array());
  }

  private void readNewest(HttpCall call) {
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
    JsonObject answer = new JsonObject();
    answer.add("items", items);
    answer.addProperty("has_more", false);
    answer.addProperty("end_offset", topic.records.size());
    call.answerJson(200, answer);
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, any -> new Topic());
  }
}

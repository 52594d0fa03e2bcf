import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: topics with one partition, read by offset or as the newest record of each
 * key. Each machine has an address of its own at the store, so that the store can turn single
 * machines away. Never slow, and loses no answer of a machine that it serves.
 */
final class LogStore {
  /** Largest number of keys in a page of newest records. */
  private static final int PAGE_ITEMS = 500;

  private static final class Topic {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Integer> newest = new TreeMap<>();
  }

  /** The store as one machine reaches it. */
  final class Door {
    private final MiniHttp http;
    private boolean isSilent;

    Door() throws IOException {
      http = new MiniHttp(this::handle);
    }

    String address() {
      return http.address();
    }

    /** Gives the machine no response while set; what it has asked before gets none either. */
    void setSilent(boolean silent) {
      synchronized (LogStore.this) {
        isSilent = silent;
        LogStore.this.notifyAll();
      }
    }

    private void handle(MiniHttp.Call call) throws Exception {
      boolean wasSilent;
      synchronized (LogStore.this) {
        wasSilent = isSilent;
      }
      if (wasSilent) {
        hang(call);
      } else if (call.is("POST", "/v1/log-append")) {
        append(call);
      } else if (call.is("GET", "/v1/log-read")) {
        read(call, this);
      } else if (call.is("GET", "/v1/log-newest")) {
        newest(call);
      } else {
        call.json(404, "{}");
      }
    }
  }

  private final Map<String, Topic> topics = new HashMap<>();

  /** Writes a value of a key as the operator or a server does; returns when it is acknowledged. */
  synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] text = value.getBytes(StandardCharsets.UTF_8);
    add(
        topic,
        ByteBuffer.allocate(1 + name.length + text.length)
            .put((byte) name.length)
            .put(name)
            .put(text)
            .array());
    notifyAll();
  }

  /** Removes a key. */
  synchronized void remove(String topic, String key) {
    put(topic, key, "");
  }

  private static void hang(MiniHttp.Call call) throws Exception {
    // Ends with the connection: the caller gets no response on it.
    while (call.socket.getInputStream().read() >= 0) {
      continue;
    }
    throw new IOException("closed");
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, added -> new Topic());
  }

  private void add(String name, byte[] record) {
    Topic topic = topic(name);
    if (name.startsWith("keyed.")) {
      int length = Byte.toUnsignedInt(record[0]);
      String key = new String(record, 1, length, StandardCharsets.UTF_8);
      if (record.length > 1 + length) {
        topic.newest.put(key, topic.records.size());
      } else {
        topic.newest.remove(key);
      }
    }
    topic.records.add(record);
  }

  private void append(MiniHttp.Call call) throws IOException {
    int first;
    int end;
    synchronized (this) {
      String name = call.query.get("topic");
      first = topic(name).records.size();
      String at = call.query.get("at");
      if (at != null && Integer.parseInt(at) != first) {
        call.json(412, "{\"end_offset\":" + first + "}");
        return;
      }
      ByteBuffer records = ByteBuffer.wrap(call.body);
      while (records.remaining() >= Integer.BYTES) {
        byte[] record = new byte[records.getInt()];
        records.get(record);
        add(name, record);
      }
      end = topic(name).records.size();
      notifyAll();
    }
    call.json(200, "{\"offset\":" + first + ",\"end_offset\":" + end + "}");
  }

  private void read(MiniHttp.Call call, Door door) throws Exception {
    int from = Integer.parseInt(call.query.get("from"));
    long waitMillis = Long.parseLong(call.query.getOrDefault("wait_ms", "0"));
    long untilNanos = System.nanoTime() + waitMillis * 1_000_000;
    byte[] response;
    synchronized (this) {
      Topic topic = topic(call.query.get("topic"));
      long leftMillis = waitMillis;
      while (!door.isSilent && topic.records.size() <= from && leftMillis > 0) {
        wait(leftMillis);
        leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
      }
      response = door.isSilent ? null : recordsFrom(topic, from);
    }
    if (response == null) {
      hang(call);
    }
    call.respond(200, Map.of("Content-Type", "application/octet-stream"), response);
  }

  private static byte[] recordsFrom(Topic topic, int from) {
    int size = topic.records.size();
    List<byte[]> records = topic.records.subList(Math.min(from, size), size);
    int bytes = records.stream().mapToInt(record -> Integer.BYTES + record.length).sum();
    ByteBuffer response = ByteBuffer.allocate(2 * Long.BYTES + bytes).putLong(size).putLong(0);
    records.forEach(record -> response.putInt(record.length).put(record));
    return response.array();
  }

  private void newest(MiniHttp.Call call) throws IOException {
    StringBuilder items = new StringBuilder();
    boolean hasMore;
    int end;
    synchronized (this) {
      Topic topic = topic(call.query.get("topic"));
      end = topic.records.size();
      Map<String, Integer> rest =
          topic.newest.tailMap(call.query.getOrDefault("after", ""), false);
      hasMore = rest.size() > PAGE_ITEMS;
      rest.entrySet().stream()
          .limit(PAGE_ITEMS)
          .forEach(one -> items.append(item(one.getKey(), one.getValue(), topic)));
    }
    items.setLength(Math.max(0, items.length() - 1));
    call.json(
        200,
        "{\"items\":[" + items + "],\"has_more\":" + hasMore + ",\"end_offset\":" + end + "}");
  }

  private static String item(String key, int offset, Topic topic) {
    byte[] record = topic.records.get(offset);
    byte[] value = Arrays.copyOfRange(record, 1 + Byte.toUnsignedInt(record[0]), record.length);
    return "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
        + "\",\"offset\":" + offset + "},";
  }
}

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for the platform's store: topics with one partition, and the newest record of a key. */
final class Store {
  private final Rig rig;
  private final ServerSocket listening;
  private final Map<String, List<byte[]>> topics = new HashMap<>();
  private final Map<String, Map<String, Integer>> newest = new HashMap<>();
  private final Map<String, AtomicInteger> reads = new ConcurrentHashMap<>();

  Store(Rig rig) throws IOException {
    this.rig = rig;
    this.listening = Wire.listen();
    rig.thread("store", () -> Wire.accept(listening, rig, this::serve));
  }

  String address() {
    return Wire.address(listening);
  }

  /** Appends a value of a key, as an operator or a server does; an empty value removes the key. */
  void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    byte[] record =
        ByteBuffer.allocate(1 + name.length + bytes.length)
            .put((byte) name.length)
            .put(name)
            .put(bytes)
            .array();
    append(topic, record);
  }

  private synchronized int append(String topic, byte[] record) {
    List<byte[]> records = topics.computeIfAbsent(topic, name -> new ArrayList<>());
    if (topic.startsWith("keyed.")) {
      int length = Byte.toUnsignedInt(record[0]);
      String key = new String(record, 1, length, StandardCharsets.UTF_8);
      Map<String, Integer> keys = newest.computeIfAbsent(topic, name -> new LinkedHashMap<>());
      if (record.length > 1 + length) {
        keys.put(key, records.size());
      } else {
        keys.remove(key);
      }
    }
    records.add(record);
    notifyAll();
    return records.size() - 1;
  }

  private void serve(Socket socket) throws IOException {
    Wire wire = new Wire(socket);
    Wire.Message call = wire.read();
    while (call != null) {
      switch (call.path()) {
        case "/v1/log-append" -> appendAll(wire, call);
        case "/v1/log-read" -> read(wire, call);
        case "/v1/log-newest" -> readNewest(wire, call);
        default -> wire.respond(404, "application/json", "{}".getBytes(StandardCharsets.UTF_8));
      }
      call = wire.read();
    }
  }

  private void appendAll(Wire wire, Wire.Message call) throws IOException {
    String topic = call.query("topic");
    ByteBuffer body = ByteBuffer.wrap(call.body);
    int first;
    int end;
    int status = 200;
    synchronized (this) {
      int size = topics.getOrDefault(topic, List.of()).size();
      String at = call.query("at");
      first = size;
      end = size;
      if (!at.isEmpty() && Integer.parseInt(at) != size) {
        status = 412;
      } else {
        while (body.remaining() >= 4) {
          byte[] record = new byte[body.getInt()];
          body.get(record);
          end = append(topic, record) + 1;
        }
      }
    }
    String answer = "{\"offset\":" + first + ",\"end_offset\":" + end + "}";
    wire.respond(status, "application/json", answer.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns how often the records of a topic have been read. */
  int reads(String topic) {
    return reads.getOrDefault(topic, new AtomicInteger()).get();
  }

  private void read(Wire wire, Wire.Message call) throws IOException {
    String topic = call.query("topic");
    reads.computeIfAbsent(topic, name -> new AtomicInteger()).incrementAndGet();
    int from = Integer.parseInt(call.query("from"));
    String wait = call.query("wait_ms");
    long untilNanos = System.nanoTime() + (wait.isEmpty() ? 0 : Long.parseLong(wait)) * 1_000_000;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    synchronized (this) {
      long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
      while (topics.getOrDefault(topic, List.of()).size() <= from && leftMillis > 0) {
        try {
          wait(leftMillis);
        } catch (InterruptedException e) {
          return;
        }
        leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
      }
      List<byte[]> records = topics.getOrDefault(topic, List.of());
      DataOutputStream out = new DataOutputStream(bytes);
      out.writeLong(records.size());
      out.writeLong(0);
      for (int offset = from; offset < records.size(); offset++) {
        out.writeInt(records.get(offset).length);
        out.write(records.get(offset));
      }
    }
    wire.respond(200, "application/octet-stream", bytes.toByteArray());
  }

  private void readNewest(Wire wire, Wire.Message call) throws IOException {
    String topic = call.query("topic");
    StringBuilder items = new StringBuilder();
    int end;
    synchronized (this) {
      List<byte[]> records = topics.getOrDefault(topic, List.of());
      end = records.size();
      for (Map.Entry<String, Integer> one : newest.getOrDefault(topic, Map.of()).entrySet()) {
        byte[] record = records.get(one.getValue());
        int start = 1 + Byte.toUnsignedInt(record[0]);
        byte[] value = java.util.Arrays.copyOfRange(record, start, record.length);
        items.append(items.length() == 0 ? "" : ",");
        items.append("{\"key\":\"").append(one.getKey()).append("\",\"value\":\"");
        items.append(Base64.getEncoder().encodeToString(value));
        items.append("\",\"offset\":").append(one.getValue()).append('}');
      }
    }
    String page = "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" + end + "}";
    wire.respond(200, "application/json", page.getBytes(StandardCharsets.UTF_8));
  }
}

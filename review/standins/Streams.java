import java.io.IOException;
import java.net.Socket;

/** A consumer's stream, and how it ended. */
final class Streams {
  private Streams() {}

  /** How a stream ended for the consumer. */
  static final class Result {
    final String request;
    volatile int status;
    volatile int events;
    volatile boolean isComplete;
    volatile boolean hasEnded;
    volatile long sentMillis;
    volatile long endedMillis;

    Result(String request) {
      this.request = request;
    }
  }

  static String route(int attempts) {
    return "{\"name\":\"stream\",\"host\":\""
        + Rig.HOST
        + "\",\"path_prefix\":\"/ask/\",\"service\":\"llm\",\"kind\":\"streaming\","
        + "\"timeout_ms\":5000,\"target_latency_ms\":800,\"target_gap_ms\":500,\"priority\":1,"
        + "\"max_attempts\":"
        + attempts
        + ",\"sticky_sessions\":true,\"resumable\":true}";
  }

  /** Sends a request and reads its stream on a thread of its own. */
  static Result open(Rig rig, Rig.Program router, String request, long budgetMillis) {
    return open(rig, router, Rig.KEY, request, budgetMillis);
  }

  /** Sends a request with a key and reads its stream on a thread of its own. */
  static Result open(
      Rig rig, Rig.Program router, String key, String request, long budgetMillis) {
    Result result = new Result(request);
    rig.thread(
        request,
        () -> {
          try (Socket socket = Rig.connect(router.front)) {
            read(rig, result, new Wire(socket), key, budgetMillis);
          } catch (IOException e) {
            rig.log(request + ": the channel failed: " + e.getMessage());
          } finally {
            result.endedMillis = rig.millis();
            result.hasEnded = true;
            rig.log(
                request
                    + ": ended after "
                    + (result.endedMillis - result.sentMillis)
                    + " ms, status "
                    + result.status
                    + ", events "
                    + result.events
                    + ", complete "
                    + result.isComplete);
          }
        });
    return result;
  }

  private static void read(Rig rig, Result result, Wire wire, String key, long budgetMillis)
      throws IOException {
    String body = "question of " + result.request;
    result.sentMillis = rig.millis();
    wire.write(
        "POST /ask/q HTTP/1.1\r\nHost: "
            + Rig.HOST
            + "\r\nAuthorization: Token "
            + key
            + "\r\nX-Shallothook-Request-Id: "
            + result.request
            + "\r\nX-Shallothook-Request-Deadline: "
            + budgetMillis
            + "\r\nX-Shallothook-Model: "
            + Rig.MODEL
            + "\r\nX-Shallothook-Token-Counts: 9190,13"
            + "\r\nX-Shallothook-Prompt-Prefix: aa01:2520,aa02:3780,"
            + Integer.toHexString(result.request.hashCode())
            + ":2890\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
    rig.log(result.request + ": sent");
    wire.socket.setSoTimeout((int) budgetMillis);
    Wire.Message head = wire.readHead();
    if (head == null) {
      return;
    }
    result.status = head.status();
    if (result.status != 200) {
      rig.log(result.request + ": " + head.first + " " + head.headers);
      return;
    }
    byte[] chunk = wire.readChunk();
    while (chunk.length > 0) {
      String text = new String(chunk);
      int last = text.lastIndexOf("id: ");
      if (last >= 0) {
        result.events = Integer.parseInt(text.substring(last + 4).split("\n")[0]);
      }
      chunk = wire.readChunk();
    }
    result.isComplete = true;
  }
}

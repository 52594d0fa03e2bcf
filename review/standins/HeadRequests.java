import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Consumers that ask for the head of an answer first, and for the answer on the same channel. */
final class HeadRequests {
  private static final String BODY = "the schedule of this week";
  private static final int ROUNDS = 5;

  private final Rig rig;
  private int strayBytes;
  private int wrongAnswers;
  private int answers;

  private HeadRequests(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) throws IOException {
    int code;
    try (Rig rig = new Rig(Path.of(arguments[0], "record.txt"))) {
      code = new HeadRequests(rig).run();
      rig.log("exit code " + code);
    }
    System.exit(code);
  }

  private int run() throws IOException {
    startServer("i-app-1", "zone-a");
    startServer("i-app-2", "zone-b");
    rig.publishConfig(
        3,
        64,
        "{\"name\":\"read\",\"host\":\""
            + Rig.HOST
            + "\",\"path_prefix\":\"/read/\",\"service\":\"app\",\"kind\":\"safe\","
            + "\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\"max_attempts\":2}");
    Rig.Program first = rig.router("front-1", "zone-a");
    Rig.Program second = rig.router("front-2", "zone-b");
    rig.start(first);
    rig.start(second);
    if (!rig.awaitReady(first) || !rig.awaitReady(second)) {
      return 2;
    }
    Rig.sleep(4_000);
    for (int round = 1; round <= ROUNDS; round++) {
      ask(first, round);
      Rig.sleep(300);
    }
    rig.log("whole answers " + answers + ", wrong answers " + wrongAnswers);
    rig.log("channels with bytes that belong to no answer: " + strayBytes);
    if (answers + wrongAnswers + strayBytes == 0) {
      return 2;
    }
    return strayBytes + wrongAnswers > 0 ? 1 : 0;
  }

  private void ask(Rig.Program router, int round) {
    try (Socket socket = Rig.connect(router.front)) {
      socket.setSoTimeout(1_500);
      Wire wire = new Wire(socket);
      wire.write(request("HEAD", "head-" + round));
      Wire.Message head = wire.readHead();
      rig.log("head-" + round + ": " + (head == null ? "closed" : head.first + head.headers));
      if (head == null || head.status() != 200 || !isKept(head)) {
        return;
      }
      // An answer to HEAD has no body, so what is read next belongs to the next request.
      wire.write(request("GET", "get-" + round));
      Wire.Message answer = wire.readHead();
      if (answer == null || !answer.first.startsWith("HTTP/1.1 ")) {
        rig.log("get-" + round + ": its answer begins with: " + (answer == null ? "" : answer.first));
        strayBytes++;
        return;
      }
      byte[] body = wire.readBody(answer);
      boolean isRight =
          answer.status() == 200 && new String(body, StandardCharsets.UTF_8).equals(BODY);
      rig.log("get-" + round + ": " + answer.first + ", right body: " + isRight);
      answers += isRight ? 1 : 0;
      wrongAnswers += isRight ? 0 : 1;
    } catch (IOException e) {
      rig.log("round " + round + ": " + e.getMessage());
    }
  }

  private static boolean isKept(Wire.Message head) {
    return !head.header("Connection").equalsIgnoreCase("close");
  }

  private static String request(String method, String id) {
    return method
        + " /read/schedule HTTP/1.1\r\nHost: "
        + Rig.HOST
        + "\r\nAuthorization: Token "
        + Rig.KEY
        + "\r\nX-Shallothook-Request-Id: "
        + id
        + "\r\nX-Shallothook-Request-Deadline: 1500\r\n\r\n";
  }

  private void startServer(String id, String zone) throws IOException {
    ServerSocket listening = Wire.listen();
    long born = System.currentTimeMillis();
    rig.thread("server", () -> Wire.accept(listening, rig, socket -> serve(socket, id)));
    rig.thread(
        "heartbeat",
        () -> {
          for (int beat = 1; true; beat++) {
            rig.store.put(
                "keyed.servers",
                id,
                "{\"service\":\"app\",\"address\":\""
                    + Wire.address(listening)
                    + "\",\"zone\":\""
                    + zone
                    + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                    + "\"cold_remaining_ms\":0,\"sequence\":"
                    + beat
                    + ",\"born\":"
                    + born
                    + "}");
            Rig.sleep(1_200);
          }
        });
  }

  /** Answers with a length, or, with the trouble, with neither a length nor chunks. */
  private void serve(Socket socket, String id) throws IOException {
    Wire wire = new Wire(socket);
    Wire.Message call = wire.read();
    while (call != null) {
      rig.log(id + ": runs " + call.method() + " " + call.header("X-Shallothook-Request-Id"));
      String length =
          rig.hasTrouble
              ? "Connection: close\r\n"
              : "Content-Length: " + BODY.length() + "\r\nKeep-Alive: timeout=20\r\n";
      wire.write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Shallothook-Request-Id: "
              + call.header("X-Shallothook-Request-Id")
              + "\r\nX-Shallothook-Response-Signature: "
              + call.header("X-Shallothook-Request-Id")
              + "."
              + id
              + "\r\n"
              + length
              + "\r\n"
              + (call.method().equals("HEAD") ? "" : BODY));
      call = rig.hasTrouble ? null : wire.read();
    }
  }
}

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;

/** Stand-in for an application server whose responses have a given size. */
final class AppServer {
  final String id;
  private final Rig rig;
  private final String zone;
  private final ServerSocket listening;
  private final long born = System.currentTimeMillis();
  private final int responseBytes;
  private long beats;

  AppServer(Rig rig, String id, String zone, int responseBytes) throws IOException {
    this.rig = rig;
    this.id = id;
    this.zone = zone;
    this.responseBytes = responseBytes;
    this.listening = Wire.listen();
    rig.thread("server", () -> Wire.accept(listening, rig, this::serve));
    rig.thread(
        "heartbeat",
        () -> {
          while (true) {
            beat();
            Rig.sleep(1_200);
          }
        });
  }

  private synchronized void beat() {
    beats++;
    rig.store.put(
        "keyed.servers",
        id,
        "{\"service\":\"app\",\"address\":\""
            + Wire.address(listening)
            + "\",\"zone\":\""
            + zone
            + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,"
            + "\"sequence\":"
            + beats
            + ",\"born\":"
            + born
            + "}");
  }

  private void serve(Socket socket) throws IOException {
    Wire wire = new Wire(socket);
    Wire.Message call = wire.read();
    while (call != null) {
      String request = call.header("X-Shallothook-Request-Id");
      if (call.header("X-Shallothook-Expected-Instance").equals(id)) {
        rig.log(id + ": runs " + request);
        Rig.sleep(60);
        wire.respond(
            200,
            "application/octet-stream",
            new byte[responseBytes],
            "Keep-Alive: timeout=20",
            "X-Shallothook-Request-Id: " + request,
            "X-Shallothook-Response-Signature: " + request + "." + id);
        rig.log(id + ": has sent the whole answer of " + request);
      } else {
        wire.respond(
            421,
            "text/plain",
            new byte[0],
            "X-Shallothook-Request-Id: " + request,
            "X-Shallothook-Not-Executed: 1");
      }
      call = wire.read();
    }
  }
}

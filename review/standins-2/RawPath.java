import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;

/**
 * Sends requests whose path holds a letter beyond ASCII, as its two bytes in UTF-8. Breaks UNASKED
 * if a server runs a request with another path than the consumer has sent.
 */
final class RawPath {
  private static final int REQUESTS = 40;
  private static final String LETTER = new String("\u0219".getBytes(StandardCharsets.UTF_8),
      StandardCharsets.ISO_8859_1);

  private RawPath() {}

  public static void main(String[] args) {
    int code = Rig.NOT_RUN;
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    try (Rig rig = new Rig(Path.of(args[0]))) {
      code = run(rig, hasTrouble);
    } catch (Exception | Error e) {
      code = Rig.NOT_RUN;
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static int run(Rig rig, boolean hasTrouble) throws Exception {
    LogStore store = new LogStore();
    store.put(
        "keyed.op",
        "config",
        "{\"version\":4,\"routes\":[{\"name\":\"r-1\",\"host\":\"linen.example\",\"path_prefix\":"
            + "\"/register/\",\"kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":400,"
            + "\"priority\":1,\"service\":\"registers\",\"max_attempts\":2}],"
            + "\"services\":[{\"name\":\"registers\"}],"
            + "\"tenants\":[{\"name\":\"guild\",\"api_keys\":[\"key-1\"]}]}");
    Servers.Plain server = new Servers.Plain(store, "registers", "i-1");
    Rig.Router router = rig.router("router-1", store);
    if (!rig.awaitReady(router, 20_000)) {
      rig.note("the router did not become ready");
      return Rig.NOT_RUN;
    }
    Rig.sleep(1_500);
    String target = "/register/Bra" + (hasTrouble ? LETTER : "%C8%99") + "ov?parish=1";
    int changed = 0;
    int served = 0;
    for (int index = 1; index <= REQUESTS; index++) {
      String id = String.format(Locale.ROOT, "%016x", 0x5eed000000000000L + index);
      Optional<Rig.Answer> answer =
          Rig.send(
              router.callers(),
              "GET " + target + " HTTP/1.1\r\nHost: linen.example\r\nX-Shallothook-Request-Id: "
                  + id + "\r\nX-Shallothook-Request-Deadline: 1500\r\n"
                  + "Authorization: Token key-1\r\n\r\n",
              2_500);
      String run = server.targetOf.get(id);
      served += answer.filter(one -> one.status() == 200).isPresent() ? 1 : 0;
      if (run != null && !run.equals(target)) {
        changed++;
        rig.note("request " + id + ": sent " + bytes(target) + ", run as " + bytes(run)
            + ", answered " + answer.map(Rig.Answer::status).orElse(0));
      }
    }
    if (!rig.allRun() || (!hasTrouble && served < REQUESTS)) {
      rig.note("served only " + served);
      return Rig.NOT_RUN;
    }
    String result = "requests run with another path than was sent: " + changed + " of " + REQUESTS;
    rig.note(result);
    System.out.println(result);
    return changed == 0 ? Rig.HELD : Rig.BROKEN;
  }

  private static String bytes(String text) {
    StringBuilder shown = new StringBuilder();
    text.chars()
        .forEach(
            one -> {
              if (one < 0x7f) {
                shown.append((char) one);
              } else {
                shown.append(String.format(Locale.ROOT, "\\x%02x", one));
              }
            });
    return shown.toString();
  }
}

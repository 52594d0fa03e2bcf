import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 connection, read and written without any client or server library. */
final class Wire {
  static final String LOOPBACK = "127.0.0.1";

  /** Handles a connection. */
  interface Handler {
    void serve(Socket socket) throws IOException;
  }

  /** A request or the head of a response. */
  static final class Message {
    String first = "";
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String path() {
      return target().split("\\?")[0];
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String query(String name) {
      String[] parts = target().split("\\?", 2);
      if (parts.length > 1) {
        for (String one : parts[1].split("&")) {
          if (one.startsWith(name + "=")) {
            return URLDecoder.decode(one.substring(name.length() + 1), StandardCharsets.UTF_8);
          }
        }
      }
      return "";
    }
  }

  final Socket socket;
  private final PushbackInputStream in;
  private final OutputStream out;

  Wire(Socket socket) throws IOException {
    this.socket = socket;
    socket.setTcpNoDelay(true);
    this.in = new PushbackInputStream(new BufferedInputStream(socket.getInputStream()), 1);
    this.out = socket.getOutputStream();
  }

  static ServerSocket listen() throws IOException {
    return listen(LOOPBACK);
  }

  /** Listens on an address of the loopback range, which stands for a machine. */
  static ServerSocket listen(String ip) throws IOException {
    return new ServerSocket(0, 256, InetAddress.getByName(ip));
  }

  /** Returns an address with a port that is free. */
  static String freeAddress(String ip) throws IOException {
    try (ServerSocket socket = listen(ip)) {
      return address(socket);
    }
  }

  static String address(ServerSocket listening) {
    return listening.getInetAddress().getHostAddress() + ":" + listening.getLocalPort();
  }

  static void accept(ServerSocket listening, Rig rig, Handler handler) throws IOException {
    while (true) {
      Socket socket = listening.accept();
      rig.thread(
          "connection",
          () -> {
            try (socket) {
              handler.serve(socket);
            } catch (IOException e) {
              // The other side has closed the connection.
            }
          });
    }
  }

  /** Reads a message with its body; returns null at the end of the connection. */
  Message read() throws IOException {
    Message message = readHead();
    if (message == null) {
      return null;
    }
    message.body = readBody(message);
    return message;
  }

  /** Reads the body that follows a head. */
  byte[] readBody(Message head) throws IOException {
    if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      byte[] chunk = readChunk();
      while (chunk.length > 0) {
        body.write(chunk);
        chunk = readChunk();
      }
      return body.toByteArray();
    }
    String length = head.header("Content-Length");
    return in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
  }

  /** Reads the first line and the headers; returns null at the end of the connection. */
  Message readHead() throws IOException {
    String line = readLine();
    if (line == null) {
      return null;
    }
    Message message = new Message();
    message.first = line;
    line = readLine();
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
      line = readLine();
    }
    return message;
  }

  /** Reads a chunk; an empty one is the last. */
  byte[] readChunk() throws IOException {
    String size = readLine();
    if (size == null) {
      throw new IOException("the connection ended between two chunks");
    }
    byte[] chunk = in.readNBytes(Integer.parseInt(size.trim(), 16));
    if (readLine() == null) {
      throw new IOException("the connection ended inside a chunk");
    }
    return chunk;
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int one = in.read();
    if (one < 0) {
      return null;
    }
    while (one >= 0 && one != '\n') {
      line.write(one);
      one = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
  }

  /** Waits; returns false at once when the other side closes the connection. */
  boolean waitWhileOpen(long millis) throws IOException {
    socket.setSoTimeout((int) Math.max(1, millis));
    try {
      int one = in.read();
      if (one < 0) {
        return false;
      }
      in.unread(one);
      Thread.sleep(millis);
      return true;
    } catch (SocketTimeoutException e) {
      return true;
    } catch (InterruptedException e) {
      return false;
    } finally {
      socket.setSoTimeout(0);
    }
  }

  void write(String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  void writeChunk(String text) throws IOException {
    write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  void respond(int status, String type, byte[] body, String... extraHeaders) throws IOException {
    List<String> lines = new ArrayList<>();
    lines.add("HTTP/1.1 " + status + " Status");
    lines.add("Content-Type: " + type);
    lines.add("Content-Length: " + body.length);
    lines.addAll(List.of(extraHeaders));
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write((String.join("\r\n", lines) + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
    all.write(body);
    out.write(all.toByteArray());
    out.flush();
  }
}

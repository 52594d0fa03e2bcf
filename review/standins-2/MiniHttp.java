import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on loopback with one thread per connection. */
final class MiniHttp implements AutoCloseable {
  /** A request that has been read completely, and the connection that it came on. */
  static final class Call {
    final String method;
    final String path;
    final Map<String, String> query = new LinkedHashMap<>();
    final Map<String, String> headers = new LinkedHashMap<>();
    final byte[] body;
    final Socket socket;
    private final OutputStream out;

    Call(String method, String target, Map<String, String> headers, byte[] body, Socket socket)
        throws IOException {
      this.method = method;
      this.headers.putAll(headers);
      this.body = body;
      this.socket = socket;
      this.out = socket.getOutputStream();
      int mark = target.indexOf('?');
      this.path = mark < 0 ? target : target.substring(0, mark);
      if (mark >= 0) {
        for (String pair : target.substring(mark + 1).split("&")) {
          int equals = pair.indexOf('=');
          if (equals > 0) {
            query.put(
                pair.substring(0, equals),
                java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
          }
        }
      }
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    boolean is(String expectedMethod, String expectedPath) {
      return method.equals(expectedMethod) && path.equals(expectedPath);
    }

    void respond(int status, Map<String, String> more, byte[] content) throws IOException {
      StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
      more.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      head.append("Content-Length: ").append(content.length).append("\r\n\r\n");
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      all.write(content);
      raw(all.toByteArray());
    }

    void json(int status, String document) throws IOException {
      respond(
          status,
          Map.of("Content-Type", "application/json"),
          document.getBytes(StandardCharsets.UTF_8));
    }

    void raw(byte[] bytes) throws IOException {
      synchronized (out) {
        out.write(bytes);
        out.flush();
      }
    }
  }

  /** Handles a request; the connection is kept unless an exception is thrown. */
  interface Handler {
    void handle(Call call) throws Exception;
  }

  private final ServerSocket listener;
  private final Handler handler;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  MiniHttp(Handler handler) throws IOException {
    this.handler = handler;
    this.listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  /** Ends the server with all its connections. */
  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 128 << 10);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        handler.handle(read(in, socket));
      }
    } catch (Exception e) {
      // The connection has ended.
    } finally {
      sockets.remove(socket);
    }
  }

  private static Call read(InputStream in, Socket socket) throws IOException {
    String[] first = line(in).split(" ");
    Map<String, String> headers = new LinkedHashMap<>();
    for (String next = line(in); !next.isEmpty(); next = line(in)) {
      int colon = next.indexOf(':');
      headers.put(
          next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException();
    }
    return new Call(first[0], first[1], headers, body, socket);
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      if (next != '\r') {
        bytes.write(next);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }
}

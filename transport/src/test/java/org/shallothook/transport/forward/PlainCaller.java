package org.shallothook.transport.forward;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A caller that writes requests of {@link PlainRequestForm} to one connection.
 *
 * <p>Not thread-safe.
 */
final class PlainCaller implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int SMALL_BUFFER_BYTES = 4_096;

  private final Socket socket = new Socket();

  PlainCaller(InetSocketAddress address) throws IOException {
    connect(address);
  }

  private PlainCaller(InetSocketAddress address, int receiveBufferBytes) throws IOException {
    socket.setReceiveBufferSize(receiveBufferBytes);
    connect(address);
  }

  /** Returns a caller whose side of the connection holds little of what it has not read. */
  static PlainCaller withSmallBuffer(InetSocketAddress address) throws IOException {
    return new PlainCaller(address, SMALL_BUFFER_BYTES);
  }

  private void connect(InetSocketAddress address) throws IOException {
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    socket.connect(address);
  }

  /** Returns the bytes of a request without a body. */
  static String request(String id, String... headerLines) {
    StringBuilder request = new StringBuilder("POST /a HTTP/1.1\r\nHost: h\r\n");
    for (String line : headerLines) {
      request.append(line).append("\r\n");
    }
    return request.append("id: ").append(id).append("\r\nContent-Length: 0\r\n\r\n").toString();
  }

  void send(String id) throws IOException {
    write(request(id));
  }

  void write(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  InputStream input() throws IOException {
    return socket.getInputStream();
  }

  /** Reads the head of a response; returns an empty text if the connection is closed before. */
  String readHead() throws IOException {
    return HttpText.readHead(input());
  }

  /** Reads a response and returns its protocol and status; empty if the connection is closed. */
  String readStatus() throws IOException {
    String head = readHead();
    if (head.isEmpty()) {
      return "";
    }
    input().readNBytes(HttpText.bodyLength(head));
    return head.substring(0, "HTTP/1.1 503".length());
  }

  /** Reads responses like {@link #readStatus}; fewer if the connection is closed before. */
  List<String> readStatuses(int count) throws IOException {
    List<String> statuses = new ArrayList<>();
    while (statuses.size() < count) {
      String status = readStatus();
      if (status.isEmpty()) {
        return statuses;
      }
      statuses.add(status);
    }
    return statuses;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

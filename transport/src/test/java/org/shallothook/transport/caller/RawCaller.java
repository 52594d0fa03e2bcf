package org.shallothook.transport.caller;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** A caller that sends and receives raw bytes. Not thread-safe. */
final class RawCaller implements AutoCloseable {
  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final int TIMEOUT_MILLIS = 20_000;

  private final Socket socket = new Socket();
  private final InputStream in;

  RawCaller(InetSocketAddress address) throws IOException {
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.connect(new InetSocketAddress(address.getAddress(), address.getPort()));
    in = new BufferedInputStream(socket.getInputStream());
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Sends each character as one byte, which allows invalid UTF-8. */
  void sendLatin1(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  void post(String path, String body) throws IOException {
    int length = body.getBytes(StandardCharsets.UTF_8).length;
    send("POST " + path + " HTTP/1.1\r\nhost: x\r\ncontent-length: " + length + "\r\n\r\n" + body);
  }

  /** Reads up to and including a text and returns everything read. */
  String readUntil(String end) throws IOException {
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    while (!read.toString(StandardCharsets.UTF_8).endsWith(end)) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("The connection ended after: " + read);
      }
      read.write(next);
    }
    return read.toString(StandardCharsets.UTF_8);
  }

  /** Reads until the connection is closed; the result ends with "(reset)" if it was reset. */
  String readToEnd() throws IOException {
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    try {
      in.transferTo(read);
    } catch (SocketException e) {
      read.writeBytes("(reset)".getBytes(StandardCharsets.UTF_8));
    }
    return read.toString(StandardCharsets.UTF_8);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

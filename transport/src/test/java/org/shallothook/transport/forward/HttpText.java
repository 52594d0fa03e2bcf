package org.shallothook.transport.forward;

import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;

/**
 * Reads messages of HTTP/1.1 as text, as they are on the connection.
 *
 * <p>Stateless and thread-safe.
 */
final class HttpText {
  private HttpText() {}

  /** Reads a head with its empty line; returns an empty text if the connection is closed before. */
  static String readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.toString();
  }

  /** Returns the length of the body that a head states, in bytes; 0 if it states none. */
  static int bodyLength(String head) {
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("content-length:"))
        .mapToInt(line -> Integer.parseInt(line.substring(line.indexOf(':') + 1).trim()))
        .findFirst()
        .orElse(0);
  }
}

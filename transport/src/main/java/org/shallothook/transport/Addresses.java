package org.shallothook.transport;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parses and formats addresses as {@code IP:port}, without name resolution.
 *
 * <p>Stateless and thread-safe.
 */
public final class Addresses {
  private static final int LARGEST_PORT = 65_535;

  private Addresses() {}

  /**
   * Parses an address.
   *
   * @param text {@code IP:port}, or {@code [IP]:port}
   * @throws IllegalArgumentException if the text is not in this format
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ip = colon > 0 ? NetUtil.createByteArrayFromIpAddressString(host(text, colon)) : null;
    if (ip == null) {
      throw unreadable(text);
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ip), port(text, colon));
    } catch (UnknownHostException e) {
      throw unreadable(text);
    }
  }

  /** Returns the address in the format that {@link #parse} accepts. */
  public static String text(InetSocketAddress address) {
    return NetUtil.toSocketAddressString(address);
  }

  private static String host(String text, int colon) {
    String host = text.substring(0, colon);
    boolean isBracketed = host.startsWith("[") && host.endsWith("]");
    return isBracketed ? host.substring(1, host.length() - 1) : host;
  }

  private static int port(String text, int colon) {
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (port >= 0 && port <= LARGEST_PORT) {
        return port;
      }
    } catch (NumberFormatException e) {
      throw unreadable(text);
    }
    throw unreadable(text);
  }

  private static IllegalArgumentException unreadable(String text) {
    return new IllegalArgumentException("Expected IP:port, found '" + text + "'.");
  }
}

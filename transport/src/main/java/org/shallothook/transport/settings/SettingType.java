package org.shallothook.transport.settings;

import io.vavr.control.Try;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Kind of value that a setting takes.
 *
 * <p>Immutable and thread-safe.
 */
public enum SettingType {
  /** Any text that is not blank. */
  TEXT("Write a text that is not blank.") {
    @Override
    Object parse(String text) {
      if (text.isBlank()) {
        throw new IllegalArgumentException("blank");
      }
      return text;
    }
  },
  /** A name: letters, digits, dots, underscores and hyphens. */
  NAME("Write a name of letters, digits, '.', '_' and '-'.") {
    @Override
    Object parse(String text) {
      if (!NAME_PATTERN.matcher(text).matches()) {
        throw new IllegalArgumentException("no name");
      }
      return text;
    }
  },
  /** An IP number and a port. */
  ADDRESS("Write an IP number and a port, such as 10.0.0.7:8080.") {
    @Override
    Object parse(String text) throws Exception {
      int colon = text.lastIndexOf(':');
      String host = text.substring(0, colon);
      if (!IP_PATTERN.matcher(host).matches()) {
        throw new IllegalArgumentException("no IP number");
      }
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(InetAddress.getByName(host), port);
    }
  },
  /** An IP number and a port, or the word {@code none}. */
  OPTIONAL_ADDRESS("Write an IP number and a port, such as 10.0.0.7:8080, or none.") {
    @Override
    Object parse(String text) throws Exception {
      return text.equals("none") ? Optional.empty() : Optional.of(ADDRESS.parse(text));
    }
  },
  /** A power of two above one. */
  POWER_OF_TWO("Write a power of two, such as 8192.") {
    @Override
    Object parse(String text) {
      int number = Integer.parseInt(text);
      if (number < 2 || Integer.bitCount(number) != 1) {
        throw new IllegalArgumentException("no power of two");
      }
      return number;
    }
  },
  /** A whole number above zero. */
  POSITIVE("Write a whole number above zero.") {
    @Override
    Object parse(String text) {
      int number = Integer.parseInt(text);
      if (number <= 0) {
        throw new IllegalArgumentException("not positive");
      }
      return number;
    }
  },
  /** A share between zero and one. */
  SHARE("Write a number from 0 to 1.") {
    @Override
    Object parse(String text) {
      double share = Double.parseDouble(text);
      if (!(share >= 0 && share <= 1)) {
        throw new IllegalArgumentException("no share");
      }
      return share;
    }
  };

  /** Only what is certainly an IP number, since anything else would be looked up as a name. */
  private static final Pattern IP_PATTERN =
      Pattern.compile(
          "(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}|\\[[0-9A-Fa-f:.]+]");

  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]+");

  private final String remedy;

  SettingType(String remedy) {
    this.remedy = remedy;
  }

  abstract Object parse(String text) throws Exception;

  Try<Object> read(String text) {
    return Try.of(() -> parse(text));
  }

  String remedy() {
    return remedy;
  }
}

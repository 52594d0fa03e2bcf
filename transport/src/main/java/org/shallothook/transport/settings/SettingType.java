package org.shallothook.transport.settings;

import io.vavr.control.Try;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Pattern;
import org.shallothook.transport.decision.DecisionSettings;

/**
 * Type of a setting's value.
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
        throw new IllegalArgumentException("not a name");
      }
      return text;
    }
  },
  /** An IP address and a port. */
  ADDRESS("Write an IP address and a port, such as 10.0.0.7:8080.") {
    @Override
    Object parse(String text) throws Exception {
      int colon = text.lastIndexOf(':');
      String host = text.substring(0, colon);
      if (!IP_PATTERN.matcher(host).matches()) {
        throw new IllegalArgumentException("not an IP address");
      }
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(InetAddress.getByName(host), port);
    }
  },
  /** An IP address and a port, or the word {@code none}. */
  OPTIONAL_ADDRESS("Write an IP address and a port, such as 10.0.0.7:8080, or none.") {
    @Override
    Object parse(String text) throws Exception {
      return text.equals("none") ? Optional.empty() : Optional.of(ADDRESS.parse(text));
    }
  },
  /** Size of the ring buffer of a decision thread. */
  RING_SIZE(
      "Write a power of two from " + DecisionSettings.MINIMUM_RING_SIZE + " on, such as 8192.") {
    @Override
    Object parse(String text) {
      int number = Integer.parseInt(text);
      if (number < DecisionSettings.MINIMUM_RING_SIZE || Integer.bitCount(number) != 1) {
        throw new IllegalArgumentException("not a valid ring size");
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
  /** A positive duration, which may have a fraction; the key determines the unit. */
  DURATION("Write a number above zero; it may have a fraction.") {
    @Override
    Object parse(String text) {
      return parseNumberInRange(text, Double.MIN_VALUE, Integer.MAX_VALUE);
    }
  },
  /** A non-negative number, which may have a fraction. */
  AMOUNT("Write a number from 0 on; it may have a fraction.") {
    @Override
    Object parse(String text) {
      return parseNumberInRange(text, 0, Integer.MAX_VALUE);
    }
  },
  /** The word {@code true} or {@code false}. */
  SWITCH("Write true or false.") {
    @Override
    Object parse(String text) {
      return switch (text) {
        case "true" -> true;
        case "false" -> false;
        default -> throw new IllegalArgumentException("neither true nor false");
      };
    }
  },
  /** A fraction from zero to one. */
  SHARE("Write a number from 0 to 1.") {
    @Override
    Object parse(String text) {
      return parseNumberInRange(text, 0, 1);
    }
  };

  /** Matches only IP addresses, because anything else would be resolved as a host name. */
  private static final Pattern IP_PATTERN =
      Pattern.compile(
          "(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}|\\[[0-9A-Fa-f:.]+]");

  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]+");

  private final String remedy;

  SettingType(String remedy) {
    this.remedy = remedy;
  }

  abstract Object parse(String text) throws Exception;

  private static double parseNumberInRange(String text, double minimum, double maximum) {
    double number = Double.parseDouble(text);
    if (!(number >= minimum && number <= maximum)) {
      throw new IllegalArgumentException("not from " + minimum + " to " + maximum);
    }
    return number;
  }

  Try<Object> read(String text) {
    return Try.of(() -> parse(text));
  }

  String remedy() {
    return remedy;
  }
}

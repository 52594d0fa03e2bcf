package org.shallothook.transport.settings;

import io.vavr.control.Try;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Pattern;
import org.shallothook.transport.decision.DecisionSettings;

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
  /** Size of the ring of a decision thread. */
  RING_SIZE("Write a power of two from " + DecisionSettings.SMALLEST_RING + " on, such as 8192.") {
    @Override
    Object parse(String text) {
      int number = Integer.parseInt(text);
      if (number < DecisionSettings.SMALLEST_RING || Integer.bitCount(number) != 1) {
        throw new IllegalArgumentException("no size of a ring");
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
  /** A length of time in the unit of its key, which may have a fraction. */
  DURATION("Write a number above zero; it may have a fraction.") {
    @Override
    Object parse(String text) {
      return numberWithin(text, Double.MIN_VALUE, Integer.MAX_VALUE);
    }
  },
  /** A number from zero on, which may have a fraction. */
  AMOUNT("Write a number from 0 on; it may have a fraction.") {
    @Override
    Object parse(String text) {
      return numberWithin(text, 0, Integer.MAX_VALUE);
    }
  },
  /** A share between zero and one. */
  SHARE("Write a number from 0 to 1.") {
    @Override
    Object parse(String text) {
      return numberWithin(text, 0, 1);
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

  private static double numberWithin(String text, double least, double most) {
    double number = Double.parseDouble(text);
    if (!(number >= least && number <= most)) {
      throw new IllegalArgumentException("not from " + least + " to " + most);
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

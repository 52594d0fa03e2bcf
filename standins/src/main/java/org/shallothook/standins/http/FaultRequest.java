package org.shallothook.standins.http;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Optional;

/**
 * Parameters of a fault, as sent to a control address.
 *
 * <p>Invariant: read only. Not thread-safe.
 */
public final class FaultRequest {
  private static final long MILLISECOND_MICROS = 1_000;

  private final JsonObject parameters;

  FaultRequest(JsonObject parameters) {
    this.parameters = parameters;
  }

  /** Returns a number, or the fallback where it is not given. */
  public long number(String name, long fallback) {
    JsonElement element = parameters.get(name);
    return element == null ? fallback : element.getAsLong();
  }

  /** Returns a fractional number, or the fallback where it is not given. */
  public double fraction(String name, double fallback) {
    JsonElement element = parameters.get(name);
    return element == null ? fallback : element.getAsDouble();
  }

  /** Returns a flag, or the fallback where it is not given. */
  public boolean flag(String name, boolean fallback) {
    JsonElement element = parameters.get(name);
    return element == null ? fallback : element.getAsBoolean();
  }

  /** Returns a text, if it is given. */
  public Optional<String> text(String name) {
    return Optional.ofNullable(parameters.get(name)).map(JsonElement::getAsString);
  }

  /**
   * Returns the end of the fault: {@code until_micros}, or {@code for_millis} from now.
   *
   * @throws IllegalArgumentException if neither is given
   */
  public long untilMicros(long nowMicros) {
    if (parameters.has("until_micros")) {
      return number("until_micros", 0);
    }
    if (parameters.has("for_millis")) {
      return nowMicros + number("for_millis", 0) * MILLISECOND_MICROS;
    }
    throw new IllegalArgumentException("Give for_millis or until_micros.");
  }
}

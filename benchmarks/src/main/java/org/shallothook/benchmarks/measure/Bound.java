package org.shallothook.benchmarks.measure;

import java.util.Locale;

/**
 * What a figure has to keep to.
 *
 * <p>Immutable and thread-safe.
 *
 * @param direction on which side of the value the figure has to be
 * @param value value
 */
public record Bound(Direction direction, double value) {

  /** Side of a bound's value. Immutable and thread-safe. */
  public enum Direction {
    AT_MOST("<=") {
      @Override
      boolean isHeld(double figure, double value) {
        return figure <= value;
      }
    },
    BELOW("<") {
      @Override
      boolean isHeld(double figure, double value) {
        return figure < value;
      }
    },
    AT_LEAST(">=") {
      @Override
      boolean isHeld(double figure, double value) {
        return figure >= value;
      }
    };

    private final String sign;

    Direction(String sign) {
      this.sign = sign;
    }

    abstract boolean isHeld(double figure, double value);
  }

  /** Returns a bound from above. */
  public static Bound atMost(double value) {
    return new Bound(Direction.AT_MOST, value);
  }

  /** Returns a bound from above that must not be reached. */
  public static Bound below(double value) {
    return new Bound(Direction.BELOW, value);
  }

  /** Returns a bound from below. */
  public static Bound atLeast(double value) {
    return new Bound(Direction.AT_LEAST, value);
  }

  /** Returns whether a figure keeps to the bound. */
  public boolean isHeldBy(double figure) {
    return direction.isHeld(figure, value);
  }

  @Override
  public String toString() {
    return direction.sign + " " + String.format(Locale.ROOT, "%.3f", value);
  }
}

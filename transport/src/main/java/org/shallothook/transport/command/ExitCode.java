package org.shallothook.transport.command;

/**
 * Exit codes of both binaries.
 *
 * <p>Stateless and thread-safe.
 */
public final class ExitCode {
  /** The command did what it was asked to. */
  public static final int SUCCESS = 0;

  /** The command failed while it ran. */
  public static final int FAILURE = 1;

  /** The command line or the settings are wrong. */
  public static final int USAGE = 2;

  /** A publication lost against another operator's change. */
  public static final int CONFLICT = 3;

  private ExitCode() {}
}

package org.shallothook.transport.command;

/**
 * Exit codes of both binaries.
 *
 * <p>Stateless and thread-safe.
 */
public final class ExitCode {
  /** The command succeeded. */
  public static final int SUCCESS = 0;

  /** The command failed at run time. */
  public static final int FAILURE = 1;

  /** The command line or the settings file is invalid. */
  public static final int USAGE = 2;

  /** A configuration was not published because of another operator's concurrent change. */
  public static final int CONFLICT = 3;

  private ExitCode() {}
}

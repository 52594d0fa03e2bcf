package org.shallothook.coordination.sidecar;

import java.util.function.Consumer;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Outbox;

/**
 * Way out of a sidecar's decisions: turns what they ask for into commands.
 *
 * <p>Invariant: every message carries the configuration offset set last, and tokens of appends
 * grow. Not thread-safe: used on the decision thread.
 */
public final class SidecarOutbox implements Outbox {
  private final Consumer<SidecarCommand> commands;
  private long configurationOffset;
  private long lastToken;

  SidecarOutbox(Consumer<SidecarCommand> commands) {
    this.commands = commands;
  }

  /** Sets the configuration offset that messages carry from now on. */
  void setConfigurationOffset(long offset) {
    configurationOffset = offset;
  }

  /** Passes a command on. */
  public void command(SidecarCommand command) {
    commands.accept(command);
  }

  @Override
  public void send(String peer, PeerMessage message) {
    commands.accept(new SidecarCommand.SendToPeer(peer, message, configurationOffset));
  }

  @Override
  public void readLog(String stream, long fromOffset) {
    commands.accept(new SidecarCommand.ReadLog(stream, fromOffset));
  }

  @Override
  public long appendLog(String stream, String payload) {
    long token = nextToken();
    commands.accept(new SidecarCommand.AppendLog(token, stream, payload));
    return token;
  }

  /** Returns a token that no other command of this process carries. */
  public long nextToken() {
    return ++lastToken;
  }
}

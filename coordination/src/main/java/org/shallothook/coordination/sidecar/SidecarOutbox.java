package org.shallothook.coordination.sidecar;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Outbox;

/**
 * Turns the messages, log operations and other actions of a sidecar's decision logic into commands.
 *
 * <p>Invariant: every message carries the configuration offset in force when it is sent, and append
 * tokens increase. Not thread-safe: used on the decision thread.
 */
public final class SidecarOutbox implements Outbox {
  private final Consumer<SidecarCommand> commands;
  private final Counters counters;
  private LongSupplier configurationOffset = () -> 0;
  private long lastToken;

  SidecarOutbox(Consumer<SidecarCommand> commands, Counters counters) {
    this.commands = commands;
    this.counters = counters;
  }

  /** Sets the source of the configuration offset that messages carry. */
  void setConfigurationOffset(LongSupplier offset) {
    configurationOffset = offset;
  }

  /** Emits a command. */
  public void command(SidecarCommand command) {
    commands.accept(command);
  }

  @Override
  public void send(String peer, PeerMessage message) {
    commands.accept(new SidecarCommand.SendToPeer(peer, message, configurationOffset.getAsLong()));
  }

  @Override
  public void readLog(String stream, long fromOffset) {
    commands.accept(new SidecarCommand.ReadLog(stream, fromOffset));
  }

  @Override
  public long appendLog(AppendKind kind, String stream, String payload) {
    counters.increment(kind.counter());
    long token = nextToken();
    commands.accept(new SidecarCommand.AppendLog(token, stream, payload));
    return token;
  }

  /** Returns a token that no other command of this process has. */
  public long nextToken() {
    return ++lastToken;
  }
}

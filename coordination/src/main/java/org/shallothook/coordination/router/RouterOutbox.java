package org.shallothook.coordination.router;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * Emits commands for the decisions of a router.
 *
 * <p>Invariant: every message carries the configuration offset at the time it is sent, and no token
 * is used twice. Not thread-safe.
 */
final class RouterOutbox implements Outbox {
  private final Consumer<RouterCommand> commands;
  private final Counters counters;
  private LongSupplier configurationOffset = () -> 0;
  private long nextToken = 1;

  /** Creates an outbox that emits to the given sink and counts appends. */
  RouterOutbox(Consumer<RouterCommand> commands, Counters counters) {
    this.commands = commands;
    this.counters = counters;
  }

  /** Sets the supplier of the configuration offset for messages. */
  void setConfigurationOffset(LongSupplier offset) {
    configurationOffset = offset;
  }

  @Override
  public void send(String peer, PeerMessage message) {
    emit(new RouterCommand.SendToPeer(peer, message, configurationOffset.getAsLong()));
  }

  @Override
  public void readLog(String stream, long fromOffset) {
    emit(new RouterCommand.ReadLog(stream, fromOffset));
  }

  @Override
  public long appendLog(AppendKind kind, String stream, String payload) {
    counters.increment(kind.counter());
    long token = nextToken++;
    emit(new RouterCommand.AppendLog(token, stream, payload));
    return token;
  }

  /** Ends a request with a refusal. */
  void refuse(RequestId request, Refusal refusal) {
    emit(new RouterCommand.Refuse(request, refusal));
  }

  /** Emits any other command. */
  void emit(RouterCommand command) {
    commands.accept(command);
  }
}

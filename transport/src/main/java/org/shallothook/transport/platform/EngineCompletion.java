package org.shallothook.transport.platform;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.protocol.platform.EngineStreamEvent;
import org.shallothook.protocol.platform.ServerSentEventReader;
import org.shallothook.state.request.AttemptId;

/**
 * Reads the event stream of one completion.
 *
 * <p>Invariant: a completion is reported as ended only after both its finish event and its end
 * marker. Used only on the client's event loop.
 */
final class EngineCompletion implements HttpStreamHandler {
  private static final int OK = 200;
  private static final int MAX_LINE_BYTES = 1 << 20;

  /** Statuses that guarantee that the engine has not run the request. */
  private static final Set<Integer> REFUSALS = Set.of(409, 429, 503);

  private final AttemptId attempt;
  private final Consumer<SidecarEvent> events;
  private final Runnable onEnd;
  private final ServerSentEventReader reader = new ServerSentEventReader(MAX_LINE_BYTES);
  private HttpExchange exchange;
  private int status;
  private Optional<EngineStreamEvent.Finish> finish = Optional.empty();
  private boolean isDone;

  EngineCompletion(AttemptId attempt, Consumer<SidecarEvent> events, Runnable onEnd) {
    this.attempt = attempt;
    this.events = events;
    this.onEnd = onEnd;
  }

  void setExchange(HttpExchange newExchange) {
    exchange = newExchange;
  }

  void cancel() {
    isDone = true;
    exchange.cancel();
  }

  void pause(boolean isPaused) {
    exchange.pause(isPaused);
  }

  @Override
  public void started(int newStatus, HttpHeaders headers) {
    status = newStatus;
    if (status != OK) {
      end(failure(!REFUSALS.contains(status), "the engine responded with status " + status));
      exchange.cancel();
    }
  }

  @Override
  public void received(ByteBuffer part) {
    reader
        .read(part)
        .peek(this::handle)
        .peekLeft(error -> exchange.failAfterSending(error.message()));
  }

  @Override
  public void ended() {
    end(failure(true, "the response ended before its end marker"));
  }

  @Override
  public void failed(boolean wasSent, String detail) {
    end(failure(wasSent, detail));
  }

  private void handle(List<String> data) {
    for (String text : data) {
      if (!isDone) {
        EngineStreamEvent.read(text)
            .peek(this::handle)
            .peekLeft(error -> exchange.failAfterSending(error.message()));
      }
    }
  }

  private void handle(EngineStreamEvent event) {
    if (event instanceof EngineStreamEvent.Tokens tokens) {
      events.accept(
          new SidecarEvent.EngineTokens(attempt, tokens.position(), tokens.count(), tokens.text()));
    } else if (event instanceof EngineStreamEvent.Finish received) {
      finish = Optional.of(received);
    } else if (finish.isPresent()) {
      end(
          new SidecarEvent.EngineEnded(
              attempt,
              finish.get().position(),
              finish.get().reason(),
              finish.get().cachedBlocks()));
    } else {
      exchange.failAfterSending("the end marker arrived before a finish event");
    }
  }

  private SidecarEvent failure(boolean hasReachedEngine, String detail) {
    return new SidecarEvent.EngineFailed(attempt, hasReachedEngine, detail);
  }

  private void end(SidecarEvent event) {
    if (!isDone) {
      isDone = true;
      onEnd.run();
      events.accept(event);
    }
  }
}

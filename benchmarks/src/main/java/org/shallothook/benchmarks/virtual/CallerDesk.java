package org.shallothook.benchmarks.virtual;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.state.request.RequestId;

/**
 * All callers of a fleet: sends their requests and keeps what each received.
 *
 * <p>Not thread-safe.
 */
public final class CallerDesk {
  private static final String JSON = "application/json";

  private final EventQueue queue;
  private final long latencyMicros;
  private final Map<RequestId, CallerRecord> open = new LinkedHashMap<>();
  private final List<ChatRecord> chats = new ArrayList<>();
  private final List<ServiceRecord> calls = new ArrayList<>();
  private Consumer<CallerRecord> endListener = record -> {};
  private long sequence;

  CallerDesk(EventQueue queue, long latencyMicros) {
    this.queue = queue;
    this.latencyMicros = latencyMicros;
  }

  /** Returns all chats in order of sending. */
  public List<ChatRecord> chats() {
    return Collections.unmodifiableList(chats);
  }

  /** Returns all service calls in order of sending. */
  public List<ServiceRecord> calls() {
    return Collections.unmodifiableList(calls);
  }

  /** Returns the number of requests that have not ended. */
  public int openRequests() {
    return open.size();
  }

  /** Tells an action of each request that ends. */
  public void whenEnded(Consumer<CallerRecord> listener) {
    endListener = listener;
  }

  /** Sends a chat to a router now. A router that is down loses it at once. */
  public ChatRecord chat(VirtualRouter router, ChatCall call) {
    ChatRecord record =
        new ChatRecord(
            nextRequest(router), router.name(), router.incarnation(), queue.nowMicros(), call);
    chats.add(record);
    send(
        router,
        record,
        new RouterEvent.ChatRequested(
            record.request(),
            call.key(),
            call.model(),
            call.tenant(),
            call.messages(),
            true,
            call.maximumOutputTokens(),
            call.deadlineMicros()));
    return record;
  }

  /** Sends a service call to a router now. */
  public ServiceRecord call(VirtualRouter router, ServiceCall call) {
    ServiceRecord record =
        new ServiceRecord(
            nextRequest(router), router.name(), router.incarnation(), queue.nowMicros(), call);
    calls.add(record);
    send(
        router,
        record,
        new RouterEvent.CallRequested(
            record.request(),
            call.key(),
            call.service(),
            call.path(),
            call.idempotencyKey(),
            JSON,
            call.body()));
    return record;
  }

  /** Closes the connection of a caller. */
  public void leave(VirtualRouter router, CallerRecord record) {
    end(record, () -> record.end(CallerRecord.State.LEFT, queue.nowMicros()));
    router.after(latencyMicros, () -> router.handle(new RouterEvent.CallerGone(record.request())));
  }

  private RequestId nextRequest(VirtualRouter router) {
    return RequestId.of(router.name(), router.incarnation(), sequence++);
  }

  private void send(VirtualRouter router, CallerRecord record, RouterEvent event) {
    open.put(record.request(), record);
    if (!router.isUp()) {
      end(record, () -> record.end(CallerRecord.State.LOST, queue.nowMicros()));
      return;
    }
    router.after(latencyMicros, () -> router.handle(event));
  }

  void routerLost(String router, long incarnation) {
    for (CallerRecord record : List.copyOf(open.values())) {
      if (record.router().equals(router) && record.routerIncarnation() == incarnation) {
        queue.after(
            latencyMicros,
            () -> end(record, () -> record.end(CallerRecord.State.LOST, queue.nowMicros())));
      }
    }
  }

  void answer(VirtualRouter router, RouterCommand command) {
    if (command instanceof RouterCommand.SendTokens tokens) {
      receive(router, tokens);
    } else if (command instanceof RouterCommand.CompleteAnswer complete) {
      later(
          complete.request(),
          ChatRecord.class,
          record ->
              record.complete(
                  complete.tokens(),
                  complete.finishReason(),
                  complete.cachedTokens(),
                  queue.nowMicros()));
    } else if (command instanceof RouterCommand.Refuse refuse) {
      later(
          refuse.request(),
          CallerRecord.class,
          record -> record.refuse(refuse.refusal(), queue.nowMicros()));
    } else if (command instanceof RouterCommand.AnswerCall answer) {
      later(
          answer.request(),
          ServiceRecord.class,
          record -> record.complete(answer.status(), answer.body(), queue.nowMicros()));
    }
  }

  private void receive(VirtualRouter router, RouterCommand.SendTokens tokens) {
    if (!(open.get(tokens.request()) instanceof ChatRecord record)) {
      return;
    }
    later(
        tokens.request(),
        ChatRecord.class,
        chat -> chat.receive(tokens.position(), tokens.count(), tokens.text(), queue.nowMicros()));
    int position = tokens.position() + tokens.count();
    if (position <= record.call().stallAfterTokens()) {
      router.after(
          0, () -> router.handle(new RouterEvent.CallerConsumed(tokens.request(), position)));
    }
  }

  private <T extends CallerRecord> void later(
      RequestId request, Class<T> type, Consumer<T> action) {
    queue.after(
        latencyMicros,
        () -> {
          CallerRecord record = open.get(request);
          if (type.isInstance(record)) {
            end(record, () -> action.accept(type.cast(record)));
          }
        });
  }

  private void end(CallerRecord record, Runnable action) {
    boolean wasOpen = record.isOpen();
    action.run();
    if (wasOpen && !record.isOpen()) {
      open.remove(record.request());
      endListener.accept(record);
    }
  }
}

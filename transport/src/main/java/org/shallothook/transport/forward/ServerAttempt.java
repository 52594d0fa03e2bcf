package org.shallothook.transport.forward;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.shallothook.coordination.forward.Dispatch;

/**
 * One attempt to get a response from a server; buffers the response until it is relayed.
 *
 * <p>Invariant: the owner is notified of the end of the attempt at most once, and never after
 * {@link #drop}. Confined to the event loop.
 */
final class ServerAttempt {
  /** Receives the events of an attempt. */
  interface Owner {
    /**
     * Returns whether the caller still waits for a response. Reads from the caller's socket first,
     * so that a disconnect that has already arrived is seen.
     */
    boolean isCallerWaiting();

    /** Called when the attempt has ended before any byte of the request was written. */
    void onUnsent(ServerAttempt attempt, String detail);

    /** Called when the head of the response has arrived. */
    void onResponseHead(ServerAttempt attempt, HttpResponse head);

    /** Called with each part of a relayed response; the owner releases it. */
    void onResponseContent(ServerAttempt attempt, HttpContent content);

    /** Called after the parts of a relayed response that one read has brought. */
    void onReadCompleted(ServerAttempt attempt);

    /** Called when the relayed response is complete. */
    void onResponseCompleted(ServerAttempt attempt);

    /**
     * Called when the attempt has ended without a complete response and its connection is closed.
     *
     * @param isReset whether the connection was closed or failed, as opposed to an invalid or
     *     stalled response
     */
    void onBroken(ServerAttempt attempt, boolean isReset, String detail);
  }

  /** Size of a response not yet relayed above which reading is paused. */
  private static final int MAXIMUM_BUFFERED_BYTES = 256 << 10;

  /** Memory that a buffered part needs beside its bytes. */
  private static final int PART_OVERHEAD_BYTES = 128;

  private final int number;
  private final Dispatch dispatch;
  private final OutboundRequest request;
  private final Owner owner;
  private final Queue<HttpContent> buffered = new ArrayDeque<>();
  private Optional<ServerConnection> connection = Optional.empty();
  private int bufferedBytes;
  private boolean isRelayed;
  private boolean isResponseComplete;
  private boolean hasEnded;

  ServerAttempt(int number, Dispatch dispatch, OutboundRequest request, Owner owner) {
    this.number = number;
    this.dispatch = dispatch;
    this.request = request;
    this.owner = owner;
  }

  int number() {
    return number;
  }

  Dispatch dispatch() {
    return dispatch;
  }

  OutboundRequest request() {
    return request;
  }

  /** Returns whether the request should still be written to the server. */
  boolean isStillNeeded() {
    return !hasEnded && owner.isCallerWaiting();
  }

  void attach(ServerConnection newConnection) {
    connection = Optional.of(newConnection);
  }

  /** Returns the memory that the buffered part of the response needs, in bytes. */
  long heldBytes() {
    return bufferedBytes;
  }

  /** Passes the buffered content to the owner, and further content as it arrives. */
  void relay() {
    isRelayed = true;
    if (bufferedBytes > MAXIMUM_BUFFERED_BYTES) {
      pause(false);
    }
    bufferedBytes = 0;
    HttpContent next = buffered.poll();
    while (next != null) {
      owner.onResponseContent(this, next);
      next = buffered.poll();
    }
    if (isResponseComplete) {
      complete();
    }
  }

  /** Ends the attempt without notifying the owner; closes the connection of an open exchange. */
  void drop() {
    if (!hasEnded) {
      hasEnded = true;
      releaseBuffered();
      if (!isResponseComplete) {
        connection.ifPresent(ServerConnection::abandon);
      }
    }
  }

  /** Pauses or resumes reading from the server. */
  void pause(boolean shouldPause) {
    if (!isResponseComplete) {
      connection.ifPresent(open -> open.pause(shouldPause));
    }
  }

  void onUnsent(String detail) {
    if (!hasEnded) {
      hasEnded = true;
      owner.onUnsent(this, detail);
    }
  }

  void onHead(HttpResponse head) {
    if (!hasEnded) {
      owner.onResponseHead(this, head);
    }
  }

  void onContent(HttpContent content) {
    if (hasEnded) {
      ReferenceCountUtil.release(content);
    } else if (isRelayed) {
      owner.onResponseContent(this, content);
    } else {
      bufferedBytes += content.content().readableBytes() + PART_OVERHEAD_BYTES;
      buffered.add(content);
      if (bufferedBytes > MAXIMUM_BUFFERED_BYTES) {
        pause(true);
      }
    }
  }

  void onReadCompleted() {
    if (isRelayed && !hasEnded) {
      owner.onReadCompleted(this);
    }
  }

  void onResponseComplete() {
    isResponseComplete = true;
    connection = Optional.empty();
    if (isRelayed && !hasEnded) {
      complete();
    }
  }

  void onBroken(boolean isReset, String detail) {
    if (!hasEnded) {
      hasEnded = true;
      releaseBuffered();
      owner.onBroken(this, isReset, detail);
    }
  }

  private void complete() {
    hasEnded = true;
    owner.onResponseCompleted(this);
  }

  private void releaseBuffered() {
    buffered.forEach(ReferenceCountUtil::release);
    buffered.clear();
    bufferedBytes = 0;
  }
}

package org.shallothook.transport.forward;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.shallothook.coordination.forward.Dispatch;

/**
 * One attempt of a request: what its server has answered and not yet passed on.
 *
 * <p>Invariant: the owner hears of at most one end, none after {@link #drop}. Used on the loop
 * alone.
 */
final class ServerAttempt {
  /** Takes what becomes of an attempt. */
  interface Owner {
    /** Returns whether the caller waits for an answer, by all that has arrived from it by now. */
    boolean isAwaited();

    /** Nothing of the request was written. */
    void unsent(ServerAttempt attempt, String detail);

    /** The head of the answer is there. */
    void answered(ServerAttempt attempt, HttpResponse head);

    /** A part of a relayed answer is there; the owner releases it. */
    void received(ServerAttempt attempt, HttpContent content);

    /** The relayed answer is whole. */
    void completed(ServerAttempt attempt);

    /** The attempt has ended without a whole answer, and its connection is closed. */
    void broken(ServerAttempt attempt, boolean isReset, String detail);
  }

  /** Bytes that are held for a decision before reading stops. */
  private static final int MOST_HELD_BYTES = 256 << 10;

  private final int number;
  private final Dispatch dispatch;
  private final OutboundRequest request;
  private final Owner owner;
  private final Queue<HttpContent> held = new ArrayDeque<>();
  private Optional<ServerLink> link = Optional.empty();
  private int heldBytes;
  private boolean isRelayed;
  private boolean hasWholeAnswer;
  private boolean isOver;

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

  /** Returns whether the request should still be written. */
  boolean isWanted() {
    return !isOver && owner.isAwaited();
  }

  void attach(ServerLink newLink) {
    link = Optional.of(newLink);
  }

  /** Passes on what is held, and then everything as it arrives. */
  void relay() {
    isRelayed = true;
    if (heldBytes > MOST_HELD_BYTES) {
      pause(false);
    }
    HttpContent next = held.poll();
    while (next != null) {
      owner.received(this, next);
      next = held.poll();
    }
    if (hasWholeAnswer) {
      complete();
    }
  }

  /** Ends the attempt without telling the owner; closes the connection of an open exchange. */
  void drop() {
    if (!isOver) {
      isOver = true;
      releaseHeld();
      if (!hasWholeAnswer) {
        link.ifPresent(ServerLink::abandon);
      }
    }
  }

  /** Stops or restarts reading from the server. */
  void pause(boolean shouldPause) {
    if (!hasWholeAnswer) {
      link.ifPresent(open -> open.pause(shouldPause));
    }
  }

  void onUnsent(String detail) {
    if (!isOver) {
      isOver = true;
      owner.unsent(this, detail);
    }
  }

  void onHead(HttpResponse head) {
    if (!isOver) {
      owner.answered(this, head);
    }
  }

  void onContent(HttpContent content) {
    if (isOver) {
      ReferenceCountUtil.release(content);
    } else if (isRelayed) {
      owner.received(this, content);
    } else {
      heldBytes += content.content().readableBytes();
      held.add(content);
      if (heldBytes > MOST_HELD_BYTES) {
        pause(true);
      }
    }
  }

  void onWhole() {
    hasWholeAnswer = true;
    link = Optional.empty();
    if (isRelayed && !isOver) {
      complete();
    }
  }

  void onBroken(boolean isReset, String detail) {
    if (!isOver) {
      isOver = true;
      releaseHeld();
      owner.broken(this, isReset, detail);
    }
  }

  private void complete() {
    isOver = true;
    owner.completed(this);
  }

  private void releaseHeld() {
    held.forEach(ReferenceCountUtil::release);
    held.clear();
  }
}

package org.shallothook.benchmarks.virtual;

import org.shallothook.state.request.RequestId;

/** What the caller of one service call has received so far. Not thread-safe. */
public final class ServiceRecord extends CallerRecord {
  private final ServiceCall call;
  private int status;
  private String body = "";

  ServiceRecord(
      RequestId request, String router, long routerIncarnation, long sentMicros, ServiceCall call) {
    super(request, router, routerIncarnation, sentMicros);
    this.call = call;
  }

  /** Returns what was asked. */
  public ServiceCall call() {
    return call;
  }

  /** Returns the HTTP status of the service; 0 before an answer. */
  public int status() {
    return status;
  }

  /** Returns the body of the service's answer. */
  public String body() {
    return body;
  }

  void complete(int answerStatus, String answerBody, long nowMicros) {
    status = answerStatus;
    body = answerBody;
    end(State.COMPLETE, nowMicros);
  }
}

package org.shallothook.transport.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import java.util.Optional;
import org.shallothook.coordination.forward.AnswerHead;
import org.shallothook.coordination.forward.Dispatch;
import org.shallothook.coordination.forward.RequestHead;
import org.shallothook.state.request.Refusal;

/**
 * Form of requests and answers on a hosting platform: what its headers say.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public interface RequestForm {

  /**
   * Reads the head of a caller's request.
   *
   * @param request the head
   * @param contentHash hash of the request's content
   * @param nowMicros time of the decision clock
   */
  Either<Refusal, RequestHead> read(HttpRequest request, long contentHash, long nowMicros);

  /**
   * Returns the headers that a server is sent, without those that frame the body.
   *
   * @param request the caller's request
   * @param dispatch what the server has to be told
   * @param nowMicros time of the decision clock
   */
  HttpHeaders toServer(HttpRequest request, Dispatch dispatch, long nowMicros);

  /** Returns the headers of a server's answer that its caller is sent, without its framing. */
  HttpHeaders toCaller(HttpResponse answer);

  /** Reads the head of a server's answer. */
  AnswerHead readAnswer(HttpResponse answer);

  /** Returns whether an answer belongs to a request. */
  boolean belongsTo(HttpResponse answer, RequestHead request);

  /** Returns how long a server keeps an unused connection open, in milliseconds, if it says so. */
  Optional<Long> keptMillis(HttpResponse answer);
}

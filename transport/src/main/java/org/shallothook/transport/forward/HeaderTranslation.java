package org.shallothook.transport.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import java.util.Optional;
import org.shallothook.coordination.forward.Dispatch;
import org.shallothook.coordination.forward.RequestHead;
import org.shallothook.coordination.forward.ResponseHead;
import org.shallothook.state.request.Refusal;

/**
 * Translates between the headers of a hosting platform and the fields that decisions need.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public interface HeaderTranslation {

  /**
   * Parses the head of a caller's request.
   *
   * @param request request line and headers
   * @param contentHash hash of the request's content
   * @param nowMicros time of the decision clock, in microseconds
   */
  Either<Refusal, RequestHead> read(HttpRequest request, long contentHash, long nowMicros);

  /**
   * Returns the headers to send to a server, without those that frame the body.
   *
   * @param request the caller's request
   * @param dispatch information about the attempt for the server
   * @param nowMicros time of the decision clock, in microseconds
   */
  HttpHeaders toServer(HttpRequest request, Dispatch dispatch, long nowMicros);

  /**
   * Returns the headers of a server's response to pass on to the caller, without those that frame
   * the body.
   */
  HttpHeaders toCaller(HttpResponse response);

  /** Parses the head of a server's response. */
  ResponseHead parseResponseHead(HttpResponse response);

  /**
   * Returns the identifier of the request that a response belongs to, if the response states
   * exactly one.
   */
  Optional<String> requestIdOf(HttpResponse response);

  /** Returns the server's keep-alive timeout in milliseconds, if the response announces one. */
  Optional<Long> keepAliveMillis(HttpResponse response);
}

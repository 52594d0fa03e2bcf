package org.shallothook.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * A caller that uses its connection until the router closes it, at times with several requests at
 * once, and at times reads slowly.
 *
 * <p>Checks that each request has a complete response. Only a request that crosses the close of its
 * connection may have none: it must not have reached a server, and the connection must be closed
 * within {@link #CROSSING_MILLIS} of its last byte.
 *
 * <p>Not thread-safe: one thread owns it.
 */
final class KeptCaller implements AutoCloseable {
  /** Time after its last byte in which a request may cross a close, in milliseconds. */
  private static final long CROSSING_MILLIS = 200;

  private static final List<RequestKind> KINDS = List.of(RequestKind.values());
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int RESPONSE_TIMEOUT_MILLIS = 12_000;
  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final int MAXIMUM_REQUESTS_AT_ONCE = 3;
  private static final double SEVERAL_SHARE = 0.3;
  private static final double SLOW_SHARE = 0.1;
  private static final int MAXIMUM_PAUSE_MILLIS = 1_500;

  private final SoakDeployment deployment;
  private final RequestOutcomes outcomes;
  private final SplittableRandom random;
  private Optional<Socket> connection = Optional.empty();
  private InputStream input = InputStream.nullInputStream();
  private int router;

  /** A request that was sent. */
  private record SentRequest(RequestKind kind, String id) {}

  /** A response as it was received. */
  private record Response(int status, boolean isLast, String body) {}

  KeptCaller(SoakDeployment deployment, RequestOutcomes outcomes, SplittableRandom random) {
    this.deployment = deployment;
    this.outcomes = outcomes;
    this.random = random;
  }

  /** Sends one or several requests and checks their responses. */
  void call() throws InterruptedException {
    if (connection.isEmpty() && !connect()) {
      return;
    }
    List<SentRequest> requests = new ArrayList<>();
    StringBuilder bytes = new StringBuilder();
    int count =
        random.nextDouble() < SEVERAL_SHARE ? random.nextInt(2, MAXIMUM_REQUESTS_AT_ONCE + 1) : 1;
    for (int index = 0; index < count; index++) {
      SentRequest request =
          new SentRequest(
              RandomChoice.oneOf(KINDS, random),
              Long.toHexString(random.nextLong() | Long.MIN_VALUE));
      requests.add(request);
      bytes.append(text(request));
    }
    boolean isOpen = write(bytes.toString());
    long sentNanos = System.nanoTime();
    if (random.nextDouble() < SLOW_SHARE) {
      long pauseMillis = random.nextInt(MAXIMUM_PAUSE_MILLIS);
      TimeUnit.MILLISECONDS.sleep(pauseMillis);
      // A close is noticed only after the pause.
      sentNanos += TimeUnit.MILLISECONDS.toNanos(pauseMillis);
    }
    for (SentRequest request : requests) {
      isOpen = isOpen ? receive(request, sentNanos) : onNoResponse(request, sentNanos, "closed");
    }
    if (!isOpen) {
      close();
    }
  }

  @Override
  public void close() {
    connection.ifPresent(
        open -> {
          try {
            open.close();
          } catch (IOException e) {
            Logger.debug("soak: closing a connection failed: {}", e.getMessage());
          }
        });
    connection = Optional.empty();
  }

  private boolean connect() {
    router = deployment.chooseRouter(random);
    InetSocketAddress address = deployment.callerAddress(router);
    Socket socket = new Socket();
    try {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
      socket.connect(address, CONNECT_TIMEOUT_MILLIS);
      input = new BufferedInputStream(socket.getInputStream());
    } catch (IOException e) {
      Logger.debug("soak: router {} refused a connection: {}", router, e.getMessage());
      return false;
    }
    connection = Optional.of(socket);
    return true;
  }

  private boolean write(String bytes) {
    try {
      connection.orElseThrow().getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      return true;
    } catch (IOException e) {
      Logger.debug("soak: router {} has closed a connection: {}", router, e.getMessage());
      return false;
    }
  }

  /** Receives the response to a request; returns whether further ones may follow. */
  private boolean receive(SentRequest request, long sentNanos) {
    Optional<String> head;
    try {
      head = readHead();
    } catch (IOException e) {
      return onNoResponse(request, sentNanos, String.valueOf(e.getMessage()));
    }
    if (head.isEmpty()) {
      return onNoResponse(request, sentNanos, "closed");
    }
    try {
      Response response = readResponse(head.get());
      outcomes.record(request.kind(), request.id(), check(request, response));
      return !response.isLast();
    } catch (IOException e) {
      violated("a response is complete", request, e.getMessage());
      outcomes.record(request.kind(), request.id(), CallerOutcome.CUT);
      return false;
    }
  }

  private CallerOutcome check(SentRequest request, Response response) {
    if (response.status() == 200) {
      if (!response.body().equals(request.kind().expectedBody(request.id()))) {
        violated("a complete response to the caller's own request", request, response.body());
      }
      return CallerOutcome.SERVED;
    }
    return response.status() == 503 ? CallerOutcome.REFUSED : CallerOutcome.FAILED;
  }

  /** Checks that a request without a response has crossed the close of its connection. */
  private boolean onNoResponse(SentRequest request, long sentNanos, String detail) {
    long sinceMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    boolean hasRun = !deployment.executionLog().executionsOf(request.id()).isEmpty();
    if (hasRun || sinceMillis > CROSSING_MILLIS) {
      violated(
          "a request that was read has a response",
          request,
          detail + " after " + sinceMillis + " ms" + (hasRun ? ", it has run" : ""));
    }
    outcomes.record(request.kind(), request.id(), CallerOutcome.CUT);
    return false;
  }

  private void violated(String guarantee, SentRequest request, String detail) {
    deployment
        .executionLog()
        .recordViolation(guarantee, request + " at router " + router + ": " + detail);
  }

  /** Reads the head of a response; empty if the connection is closed before it. */
  private Optional<String> readHead() throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!endsWith(head, "\r\n\r\n")) {
      int next = input.read();
      if (next < 0 && head.size() == 0) {
        return Optional.empty();
      }
      head.write(present(next));
    }
    return Optional.of(head.toString(StandardCharsets.ISO_8859_1));
  }

  private Response readResponse(String head) throws IOException {
    int status = Integer.parseInt(head.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
    String lowerCase = head.toLowerCase(Locale.ROOT);
    boolean isLast = lowerCase.contains("connection: close");
    String body =
        lowerCase.contains("transfer-encoding: chunked")
            ? readChunks()
            : readExactly(contentLength(lowerCase));
    return new Response(status, isLast, body);
  }

  private String readChunks() throws IOException {
    StringBuilder body = new StringBuilder();
    while (true) {
      int size = Integer.parseInt(readLine(), 16);
      body.append(readExactly(size));
      readLine();
      if (size == 0) {
        return body.toString();
      }
    }
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (!endsWith(line, "\r\n")) {
      line.write(present(input.read()));
    }
    return line.toString(StandardCharsets.ISO_8859_1).trim();
  }

  private String readExactly(int bytes) throws IOException {
    byte[] read = input.readNBytes(bytes);
    if (read.length < bytes) {
      throw new EOFException(read.length + " of " + bytes + " bytes");
    }
    return new String(read, StandardCharsets.ISO_8859_1);
  }

  private static int present(int read) throws EOFException {
    if (read < 0) {
      throw new EOFException("the response ends early");
    }
    return read;
  }

  private static boolean endsWith(ByteArrayOutputStream bytes, String end) {
    return bytes.toString(StandardCharsets.ISO_8859_1).endsWith(end);
  }

  private static int contentLength(String lowerCaseHead) {
    return lowerCaseHead
        .lines()
        .filter(line -> line.startsWith("content-length:"))
        .mapToInt(line -> Integer.parseInt(line.substring(line.indexOf(':') + 1).trim()))
        .findFirst()
        .orElse(0);
  }

  private String text(SentRequest request) {
    String body = RequestKind.body(request.id());
    StringBuilder text = new StringBuilder("POST ");
    text.append(request.kind().target(request.id())).append(" HTTP/1.1\r\n");
    request
        .kind()
        .headers(request.id(), random)
        .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
    return text.toString();
  }
}

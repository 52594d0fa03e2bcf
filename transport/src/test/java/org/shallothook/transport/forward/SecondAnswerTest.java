package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothook.coordination.forward.Dispatch;
import org.shallothook.transport.Channels;

/**
 * Drives server connections against a model of servers that answer some requests twice.
 *
 * <p>All draws depend on the seed alone; there are no sockets and no timers. The model leaves out
 * what no reader can tell apart: bytes inside a body whose end is known only from its length or
 * from the end of the connection.
 */
final class SecondAnswerTest {
  private static final int SEEDS = Integer.getInteger("second-answer.seeds", 50);
  private static final int REQUESTS = 40;
  private static final int IDS = 12;

  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nid: r0\r\n\r\n";

  private static final List<String> SURPLUS =
      List.of(
          "\r\n",
          " ",
          "\0",
          "x",
          "HT",
          "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nx: ",
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nx: y",
          "HTTP/1.1 200 ",
          INTERIM,
          "0\r\n\r\n",
          "garbage\r\n\r\n");

  private static final List<HttpMethod> METHODS =
      List.of(HttpMethod.GET, HttpMethod.POST, HttpMethod.POST, HttpMethod.HEAD);

  private static final List<Integer> STATUSES = List.of(200, 200, 200, 500, 503, 404, 204, 304);

  private static final Dispatch DISPATCH = PlainRequestForm.dispatch("server", Optional.empty());

  private final List<String> log = new ArrayList<>();
  private final List<ByteBuf> buffers = new ArrayList<>();
  private final List<Link> links = new ArrayList<>();
  private Random random = new Random(0);
  private int answers;

  static LongStream seeds() {
    return LongStream.range(0, SEEDS);
  }

  private enum Framing {
    LENGTH {
      @Override
      String header(String body) {
        return "Content-Length: " + body.length() + "\r\n";
      }

      @Override
      String write(String body) {
        return body;
      }
    },
    CHUNKED {
      @Override
      String header(String body) {
        return "Transfer-Encoding: chunked\r\n";
      }

      @Override
      String write(String body) {
        String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
        return (body.isEmpty() ? "" : chunk) + "0\r\n\r\n";
      }
    },
    NONE {
      @Override
      String header(String body) {
        return "";
      }

      @Override
      String write(String body) {
        return body;
      }
    };

    abstract String header(String body);

    abstract String write(String body);
  }

  /** An answer that a server writes, as the bytes of its head and those behind it. */
  private record Answer(
      int status, String body, String head, String rest, boolean endsWithConnection) {
    String text() {
      return head + rest;
    }
  }

  /** One send of a request, and what its owner was told. */
  private static final class Send implements ServerAttempt.Owner {
    private final String id;
    private final HttpMethod method;
    private final boolean relaysAtOnce;
    private final StringBuilder body = new StringBuilder();
    private int status;
    private int ends;
    private boolean isWhole;

    private Send(String id, HttpMethod method, boolean relaysAtOnce) {
      this.id = id;
      this.method = method;
      this.relaysAtOnce = relaysAtOnce;
    }

    @Override
    public boolean isCallerWaiting() {
      return true;
    }

    @Override
    public void onUnsent(ServerAttempt attempt, String detail) {
      ends++;
    }

    @Override
    public void onResponseHead(ServerAttempt attempt, HttpResponse head) {
      status = head.status().code();
      if (relaysAtOnce) {
        attempt.relay();
      }
    }

    @Override
    public void onResponseContent(ServerAttempt attempt, HttpContent content) {
      body.append(content.content().toString(StandardCharsets.ISO_8859_1));
      content.release();
    }

    @Override
    public void onReadCompleted(ServerAttempt attempt) {}

    @Override
    public void onResponseCompleted(ServerAttempt attempt) {
      ends++;
      isWhole = true;
    }

    @Override
    public void onBroken(ServerAttempt attempt, boolean isReset, String detail) {
      ends++;
    }
  }

  /** A connection with its server's side; {@code pending} is written, but has not arrived. */
  private final class Link implements ServerConnection.Pool {
    private final ServerConnection connection =
        new ServerConnection(this, new PlainRequestForm(), "server");
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final StringBuilder pending = new StringBuilder();
    private final List<Send> sends = new ArrayList<>();
    private boolean isReleased = true;
    private boolean isInDoubt;

    private Link() {
      connection.addTo(channel.pipeline());
    }

    @Override
    public void release(ServerConnection released) {
      isReleased = true;
    }

    @Override
    public void onClosed(ServerConnection closed) {
      isReleased = false;
    }

    @Override
    public void onUnexpected(
        ServerConnection unexpected, UnexpectedResponse kind, HttpResponse head) {
      log.add("unexpected " + kind);
    }

    @Override
    public void onSurplusBytes(ServerConnection unexpected) {
      log.add("surplus bytes");
    }

    private boolean isReusable() {
      return isReleased && channel.isActive();
    }

    /** Lets pending bytes arrive, in one read or several. */
    private void arrive(int count) {
      int left = count;
      while (left > 0 && channel.isActive()) {
        int size = random.nextBoolean() ? left : 1 + random.nextInt(left);
        String text = pending.substring(0, size);
        pending.delete(0, size);
        log.add("arrives " + text);
        ByteBuf buffer = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        buffers.add(buffer);
        channel.writeInbound(buffer);
        left -= size;
      }
    }

    private void arriveWhileIdle() {
      int count = random.nextInt(4) == 0 ? random.nextInt(pending.length() + 1) : 0;
      isInDoubt |= count > 0;
      arrive(count);
      checkReuse();
    }

    /** Writes a second answer, whole or cut short, or surplus bytes. */
    private void writeUnexpected() {
      String text = oneIn(3) ? pick(SURPLUS) : draw(pick(sends)).text();
      pending.append(text, 0, oneIn(3) ? random.nextInt(text.length()) : text.length());
    }

    private void checkReuse() {
      assertWithMessage("reusable though in doubt: %s", log)
          .that(isReusable() && isInDoubt)
          .isFalse();
    }

    private void closeByServer(boolean isReset) {
      log.add(isReset ? "reset" : "end");
      if (isReset) {
        channel.pipeline().fireExceptionCaught(new IOException("reset"));
      }
      Channels.close(channel);
      channel.runPendingTasks();
    }
  }

  // Guards against a second answer, or bytes of no answer, being taken for the answer to a request.
  @ParameterizedTest
  @MethodSource("seeds")
  void onlyTheFirstAnswerToASendIsItsAnswer(long seed) {
    random = new Random(seed);
    for (int i = 0; i < REQUESTS; i++) {
      play(new Send("r" + random.nextInt(IDS), pick(METHODS), oneIn(2)));
      links.forEach(Link::arriveWhileIdle);
    }
    links.forEach(link -> link.closeByServer(false));
    buffers.forEach(
        buffer -> assertWithMessage("leak: %s", log).that(buffer.refCnt()).isEqualTo(0));
  }

  private <T> T pick(List<T> values) {
    return values.get(random.nextInt(values.size()));
  }

  private boolean oneIn(int count) {
    return random.nextInt(count) == 0;
  }

  private void play(Send send) {
    ByteBuf body = Unpooled.copiedBuffer("b", StandardCharsets.ISO_8859_1);
    DefaultHttpRequest original = new DefaultHttpRequest(HttpVersion.HTTP_1_1, send.method, "/");
    original.headers().set(PlainRequestForm.ID, send.id);
    OutboundRequest request =
        new OutboundRequest(
            original, new PlainRequestForm().read(original, 0, 0).getOrNull(), body);
    Link link =
        links.stream()
            .filter(one -> one.isReusable() && one.connection.mayCarry(request))
            .findFirst()
            .orElseGet(this::open);
    log.add("sends " + send.method + " " + send.id + " on " + links.indexOf(link));
    ServerAttempt attempt = new ServerAttempt(1, DISPATCH, request, send);
    link.isReleased = false;
    link.connection.send(attempt, 0);
    link.channel.releaseOutbound();
    answer(link, send, attempt);
    body.release();
    assertWithMessage("leak of the body: %s", log).that(body.refCnt()).isEqualTo(0);
  }

  private Link open() {
    Link link = new Link();
    links.add(link);
    return link;
  }

  private void answer(Link link, Send send, ServerAttempt attempt) {
    while (!link.sends.isEmpty() && oneIn(4)) {
      link.writeUnexpected();
    }
    // Blank bytes and interim heads in front of an answer change nothing.
    link.isInDoubt |= !link.pending.toString().replace(INTERIM, "").trim().isEmpty();
    if (oneIn(6)) {
      link.pending.append(INTERIM);
    }
    Answer first = draw(send);
    int size = oneIn(8) ? 1 + random.nextInt(first.text().length() - 1) : first.text().length();
    boolean isCut = size < first.text().length();
    boolean isReset = oneIn(2) || (isCut && first.endsWithConnection);
    boolean isCutInBody = isCut && size >= first.head.length();
    boolean isClosed = first.endsWithConnection || isCutInBody || oneIn(20);
    link.sends.add(send);
    link.pending.append(first.text(), 0, size);
    log.add("first " + first + (isCut ? " cut at " + size : "") + (isClosed ? " closed" : ""));
    int end = link.pending.length();
    if (isCut && !isClosed) {
      link.pending.append(draw(pick(link.sends)).text());
    }
    while (!isClosed && oneIn(3)) {
      link.writeUnexpected();
    }
    int count = end + random.nextInt(link.pending.length() - end + 1);
    link.isInDoubt |= isCut || count > end;
    link.arrive(count);
    boolean isDropped = oneIn(20) && send.ends == 0;
    if (isDropped) {
      attempt.drop();
      send.ends++;
    }
    if (isClosed) {
      link.closeByServer(isReset);
    }
    if (!send.relaysAtOnce && !isDropped) {
      attempt.relay();
    }
    link.checkReuse();
    if (send.ends == 0) {
      link.arrive(link.pending.length());
      link.closeByServer(isReset);
    }
    assertWithMessage("ends: %s", log).that(send.ends).isEqualTo(1);
    if (send.isWhole) {
      boolean isFirstWhole = !isCut && !(first.endsWithConnection && isReset);
      assertWithMessage("not whole: %s", log).that(isFirstWhole).isTrue();
      assertWithMessage("status: %s", log).that(send.status).isEqualTo(first.status);
      assertWithMessage("body: %s", log).that(send.body.toString()).isEqualTo(first.body);
    }
  }

  private Answer draw(Send send) {
    int status = pick(STATUSES);
    boolean isRefusal = status == 503 && oneIn(2);
    String named = "id: " + send.id + "\r\n";
    String ids = oneIn(6) ? pick(List.of("", named + "id: r99\r\n")) : named;
    boolean isEmpty = send.method.equals(HttpMethod.HEAD) || status == 204 || status == 304;
    answers++;
    String body = oneIn(5) ? "" : "body " + answers + ".".repeat(random.nextInt(30));
    Framing framing = pick(List.of(Framing.values()));
    return new Answer(
        status,
        isEmpty ? "" : body,
        "HTTP/1.1 %d Any\r\n%s%s%s\r\n"
            .formatted(status, ids, isRefusal ? "not-run: 1\r\n" : "", framing.header(body)),
        isEmpty ? "" : framing.write(body),
        framing == Framing.NONE && !isEmpty);
  }
}

package org.shallothook.protocol.platform;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.protocol.json.JsonError;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;

final class PlatformFormatsTest {
  private static final String PAGE =
      "{\"stream\":\"leases\",\"first\":3,\"end\":42,\"records\":"
          + "[{\"offset\":17,\"appended_at_micros\":5,\"payload\":\"x\"}]}";
  private static final String LIST =
      "{\"version\":5,\"instances\":[{\"name\":\"b-1\",\"role\":\"service\","
          + "\"address\":\"127.0.0.1:7\",\"failure_domain\":\"a\",\"region\":\"r\","
          + "\"service\":\"bookings\",\"leaving\":true}]}";
  private static final String STATUS =
      "{\"incarnation\":\"e-1\",\"models\":[{\"model\":\"m\",\"version\":\"1\",\"adapter\":\"\"}],"
          + "\"running\":3,\"maximum_running\":16,\"last_fencing\":7,\"leaving\":false}";
  private static final String ROLE_STATUS =
      STATUS.replace("false}", "false,\"role\":\"priority\"}");
  private static final String CHANGES =
      "{\"incarnation\":\"e-1\",\"first_sequence\":4,\"changes\":"
          + "[{\"key\":\"0123456789abcdef0123456789abcdef\",\"stored\":true}]}";
  private static final String BLOCKS =
      "{\"incarnation\":\"e-1\",\"next_sequence\":4,\"keys\":"
          + "[\"0123456789abcdef0123456789abcdef\"]}";
  private static final String TOKENS = "{\"position\":0,\"count\":1,\"text\":\"a\"}";
  private static final String FINISH =
      "{\"finish_reason\":\"stop\",\"position\":12,\"cached_blocks\":3}";

  /** A parser with an example document that it accepts. */
  record Form(String example, Function<String, Either<JsonError, ?>> read) {}

  private static final List<Form> FORMS =
      List.of(
          new Form(PAGE, LogResponseParser::page),
          new Form("{\"offset\":17}", LogResponseParser::appendedOffset),
          new Form(LIST, InstanceListParser::read),
          new Form(STATUS, EngineFormat::status),
          new Form(ROLE_STATUS, EngineFormat::status),
          new Form(STATUS, EngineFormat::serviceStatus),
          new Form(CHANGES, EngineFormat::cacheChanges),
          new Form(BLOCKS, EngineFormat::cacheList),
          new Form(BLOCKS, EngineFormat::transferred),
          new Form(TOKENS, EngineStreamEvent::read),
          new Form(FINISH, EngineStreamEvent::read));

  @ParameterizedTest
  @CsvSource({"'', MIXED", "mixed, MIXED", "priority, PRIORITY", "prefill, OTHER"})
  void aRoleIsReadAndAnUnknownOneIsNotAnError(String role, EngineRole expected) {
    String status =
        role.isEmpty() ? STATUS : STATUS.replace("false}", "false,\"role\":\"" + role + "\"}");
    assertThat(EngineFormat.status(status).get().role()).isEqualTo(expected);
  }

  @Test
  void ordersContainTheirKindAndFencingToken() {
    assertThat(EngineFormat.order(new SidecarCommand.OrderRole(7, EngineRole.PRIORITY)))
        .isEqualTo("{\"fencing\":7,\"order\":\"role\",\"role\":\"priority\"}");
    ModelVersion adapted = new ModelVersion("m", "2", "rota");
    assertThat(EngineFormat.order(new SidecarCommand.OrderModelVersion(7, adapted, true)))
        .isEqualTo(
            "{\"fencing\":7,\"order\":\"load\",\"model\":\"m\",\"version\":\"2\","
                + "\"adapter\":\"rota\"}");
  }

  @ParameterizedTest
  @MethodSource("forms")
  void everyFormReadsItsExample(Form form) {
    assertThat(form.read().apply(form.example()).isRight()).isTrue();
  }

  @Property(seed = "1", tries = 4_000)
  void noChangedCharacterMakesReadingThrow(
      @ForAll("anyForm") Form form, @ForAll int index, @ForAll char value) {
    StringBuilder body = new StringBuilder(form.example());
    body.setCharAt(Math.floorMod(index, body.length()), value);

    assertThat(form.read().apply(body.toString())).isNotNull();
  }

  @Property(seed = "2", tries = 2_000)
  void truncatedDocumentsAreTypedErrors(@ForAll("anyForm") Form form, @ForAll int index) {
    String truncated = form.example().substring(0, Math.floorMod(index, form.example().length()));

    assertThat(form.read().apply(truncated).isLeft()).isTrue();
  }

  @Test
  void aLogPageIsRead() {
    assertThat(LogResponseParser.page(PAGE).get())
        .isEqualTo(new LogPage("leases", 3, 42, List.of(new LogRecord(17, 5, "x"))));
  }

  @Test
  void anInstanceListIsRead() {
    assertThat(InstanceListParser.read(LIST).get().instances())
        .containsExactly(
            new Instance("b-1", InstanceRole.SERVICE, "127.0.0.1:7", "a", "r", "bookings", true));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"stream\":\"s\",\"first\":0,\"end\":9,\"records\":["
            + "{\"offset\":2,\"appended_at_micros\":5,\"payload\":\"x\"},"
            + "{\"offset\":2,\"appended_at_micros\":5,\"payload\":\"y\"}]}",
        "{\"stream\":\"s\",\"first\":-1,\"end\":9,\"records\":[]}",
        "{\"stream\":\"s\",\"first\":1e3,\"end\":9,\"records\":[]}",
        "{\"stream\":\"s\",\"first\":0,\"end\":\"9\",\"records\":[]}",
      })
  void anInvalidLogPageIsATypedError(String body) {
    assertThat(LogResponseParser.page(body).isLeft()).isTrue();
  }

  @Property(seed = "3", tries = 500)
  void eventsDoNotDependOnChunkBoundaries(@ForAll("chunkBoundaries") List<Integer> boundaries) {
    byte[] stream =
        "data: {\"text\":\"å\"}\r\n\r\n: note\n\ndata:[DONE]\n\n".getBytes(StandardCharsets.UTF_8);
    ServerSentEventReader reader = new ServerSentEventReader(100);
    List<String> data = new ArrayList<>();
    int start = 0;
    for (int boundary :
        Stream.concat(boundaries.stream().sorted(), Stream.of(stream.length)).toList()) {
      int end = Math.min(boundary, stream.length);
      data.addAll(reader.read(ByteBuffer.wrap(stream, start, end - start)).get());
      start = end;
    }

    assertThat(data).containsExactly("{\"text\":\"å\"}", "[DONE]").inOrder();
  }

  @Test
  void aLineLongerThanTheMaximumIsATypedError() {
    ServerSentEventReader reader = new ServerSentEventReader(10);

    assertThat(reader.read(ByteBuffer.wrap(new byte[11])).isLeft()).isTrue();
  }

  @Provide
  Arbitrary<Form> anyForm() {
    return Arbitraries.of(FORMS);
  }

  @Provide
  Arbitrary<List<Integer>> chunkBoundaries() {
    return Arbitraries.integers().between(0, 50).list().ofMaxSize(10);
  }

  static Stream<Arguments> forms() {
    return FORMS.stream().map(Arguments::of);
  }
}

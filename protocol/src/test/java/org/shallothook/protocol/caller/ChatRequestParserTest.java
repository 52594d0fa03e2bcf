package org.shallothook.protocol.caller;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.router.ChatMessage;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.state.request.RequestId;

final class ChatRequestParserTest {
  private static final RequestId ID = new RequestId("r-1");
  private static final String COMPLETE_REQUEST =
      "{\"model\":\"m\",\"tenant\":\"t\",\"stream\":true,\"max_tokens\":7,\"temperature\":0.5,"
          + "\"messages\":[{\"role\":\"user\",\"content\":\"hej\"}]}";

  @Test
  void aRequestWithEveryFieldIsRead() {
    RouterEvent.ChatRequested chat = read(COMPLETE_REQUEST, headers(Optional.empty(), "5")).get();

    assertThat(chat)
        .isEqualTo(
            new RouterEvent.ChatRequested(
                ID,
                "key",
                "m",
                Optional.of("t"),
                List.of(new ChatMessage("user", "hej")),
                true,
                Optional.of(7),
                Optional.of(5_000L)));
  }

  @Test
  void theTenantMayComeInAHeader() {
    String body = COMPLETE_REQUEST.replace("\"tenant\":\"t\",", "");

    assertThat(read(body, headers(Optional.of("h"), "5")).get().tenant())
        .isEqualTo(Optional.of("h"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"m\"|7|Field 'model' must be a string of Unicode characters.",
        "\"stream\":true|\"stream\":\"true\"|Field 'stream' must be true or false.",
        "7|7.5|Field 'max_tokens' must be a whole number.",
        "7|0|Field 'max_tokens' must be a positive whole number.",
        "7|99999999999|Field 'max_tokens' must be a whole number of 32 bits.",
        "\"user\"|\"owner\"|Field 'messages[0].role' must be 'system', 'user' or 'assistant'.",
        "\"content\":\"hej\"|\"text\":\"hej\"|Field 'messages[0].content' is missing.",
        "{\"role\":\"user\",\"content\":\"hej\"}||Field 'messages' must be a list of at least one"
            + " message.",
      })
  void anErrorNamesTheInvalidField(String part, String replacement, String message) {
    String body = COMPLETE_REQUEST.replace(part, replacement == null ? "" : replacement);

    assertThat(read(body, headers(Optional.empty(), "5")).getLeft().message()).isEqualTo(message);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"''", "null", "[]", "{", "{'a':1}", "{} {}", "{\"model\":\"\\ud800\"}"})
  void anInvalidBodyIsATypedError(String body) {
    assertThat(read(body, headers(Optional.empty(), "5")).isLeft()).isTrue();
  }

  @Test
  void aDeeplyNestedBodyIsATypedError() {
    String body = "{\"messages\":" + "[".repeat(100_000);

    assertThat(read(body, headers(Optional.empty(), "5")).isLeft()).isTrue();
  }

  @Property(seed = "1", tries = 2_000)
  void noBodyOrDeadlineMakesReadingThrow(@ForAll String body, @ForAll String deadline) {
    assertThat(read(body, headers(Optional.empty(), deadline))).isNotNull();
  }

  @Property(seed = "2", tries = 2_000)
  void noChangedCharacterMakesReadingThrow(@ForAll int index, @ForAll char value) {
    StringBuilder body = new StringBuilder(COMPLETE_REQUEST);
    body.setCharAt(Math.floorMod(index, body.length()), value);

    assertThat(read(body.toString(), headers(Optional.empty(), "5"))).isNotNull();
  }

  private static ChatRequestParser.Headers headers(Optional<String> tenant, String deadline) {
    return new ChatRequestParser.Headers("key", tenant, Optional.of(deadline));
  }

  private static Either<CallerProtocolError, RouterEvent.ChatRequested> read(
      String body, ChatRequestParser.Headers headers) {
    return ChatRequestParser.read(ID, headers, body);
  }
}

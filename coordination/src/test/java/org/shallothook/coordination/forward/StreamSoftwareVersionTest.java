package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.route.ServerEntry;

/**
 * Covers streams whose server fails in the middle while servers of several software versions serve.
 * Each stream begins at the server {@code engine-1}, which is alone at first.
 */
final class StreamSoftwareVersionTest {
  private static final String FIRST = "engine-1";
  private static final String SECOND = "engine-2";

  /** Longer than a broken stream waits for a server, in microseconds. */
  private static final long WHOLE_WAIT_MICROS = ForwardHarness.SECOND;

  private final ForwardHarness harness = ForwardHarness.ready(0, 0);

  /** Ways in which the last other server of a software version is lost. */
  enum Loss {
    REMOVED {
      @Override
      ForwardEvent event(ServerEntry entry) {
        return new ForwardEvent.ServerRemoved(entry.id());
      }
    },
    LEAVING {
      @Override
      ForwardEvent event(ServerEntry entry) {
        return new ForwardEvent.ServersRead(List.of(ForwardHarness.leaving(entry)), false);
      }
    },
    RESTARTED_WITH_OTHER_SOFTWARE {
      @Override
      ForwardEvent event(ServerEntry entry) {
        ServerEntry other = ForwardHarness.withSoftware(entry, Optional.of("v2"));
        return new ForwardEvent.ServersRead(List.of(ForwardHarness.startedAt(other, 2)), false);
      }
    },
    RESTARTED_WITH_UNREADABLE_SOFTWARE {
      @Override
      ForwardEvent event(ServerEntry entry) {
        ServerEntry other = ForwardHarness.withSoftware(entry, Optional.empty());
        return new ForwardEvent.ServersRead(List.of(ForwardHarness.startedAt(other, 2)), false);
      }
    };

    abstract ForwardEvent event(ServerEntry entry);
  }

  private static ServerEntry entry(String id, String software) {
    int index = Integer.parseInt(id.substring("engine-".length()));
    return ForwardHarness.withSoftware(
        ForwardHarness.engine(id, index, 1), Optional.ofNullable(software));
  }

  private void list(ServerEntry entry) {
    harness.handle(new ForwardEvent.ServersRead(List.of(entry), false));
  }

  private void setReady(String server, boolean isReady) {
    setReady(server, "1", isReady);
  }

  private void setReady(String server, String incarnation, boolean isReady) {
    List<ModelVersion> ready =
        isReady ? List.of(new ModelVersion(ForwardHarness.MODEL, "1", "")) : List.of();
    harness.handle(
        new ForwardEvent.StatusReceived(new SidecarStatus(server, incarnation, ready, false, 0)));
  }

  private long send() {
    long request = harness.submitLongPrompt("north");
    assertThat(harness.serverOf(request)).isEqualTo(FIRST);
    return request;
  }

  private long begin() {
    long request = send();
    harness.respond(request, 200);
    return request;
  }

  private void crashDuring(long request) {
    harness.breakConnection(request, Optional.of(7L));
  }

  /** Breaks the connection of another request, which only the given server may take. */
  private void breakOtherConnection(String server) {
    String other = server.equals(FIRST) ? SECOND : FIRST;
    setReady(other, false);
    long request = harness.submitShortPrompt("south");
    assertThat(harness.serverOf(request)).isEqualTo(server);
    harness.respond(request, 200);
    crashDuring(request);
    harness.advance(300 * ForwardHarness.MILLI);
    setReady(other, true);
  }

  private void assertResumedAt(long request, String server) {
    assertThat(harness.sends(request)).isEqualTo(2);
    assertThat(harness.serverOf(request)).isEqualTo(server);
    assertThat(harness.sent(request).orElseThrow().dispatch().resumesAfter()).hasValue(7L);
    assertThat(harness.isBrokenOff(request)).isFalse();
  }

  private void assertNotResumed(long request) {
    assertWithMessage("sends").that(harness.sends(request)).isEqualTo(1);
    assertThat(harness.isBrokenOff(request)).isTrue();
  }

  private void assertIsResumed(long request, boolean isResumed) {
    if (isResumed) {
      assertResumedAt(request, SECOND);
    } else {
      harness.advance(WHOLE_WAIT_MICROS);
      assertNotResumed(request);
    }
  }

  // Guards against a stream whose parts come from servers of two software versions.
  @ParameterizedTest
  @CsvSource({
    "v1, v1, true",
    "v1, v2, false",
    "v2, v1, false",
    "v1.1, v1, false",
    "v1, V1, false",
    "v1, , false",
    ", v1, false",
    ", , false",
  })
  void aBrokenStreamIsResumedOnlyAtTheSoftwareVersionThatBeganIt(
      String began, String other, boolean isResumed) {
    list(entry(FIRST, began));
    long stream = begin();
    list(entry(SECOND, other));

    crashDuring(stream);

    assertIsResumed(stream, isResumed);
    if (isResumed) {
      harness.respond(stream, 200);
    }
    assertThat(harness.counted.getOrDefault("streams.resumed", 0)).isEqualTo(isResumed ? 1 : 0);
    assertThat(harness.counted.getOrDefault("streams.resume-impossible", 0))
        .isEqualTo(isResumed ? 0 : 1);
  }

  // Guards against a resumed stream at the best server instead of the best of its version.
  @ParameterizedTest
  @ValueSource(strings = {"engine-2", "engine-3", "engine-4", "engine-5"})
  void ofManyServersOneOfTheSameSoftwareVersionResumesTheStream(String same) {
    list(entry(FIRST, "v1"));
    long stream = begin();
    for (String other : List.of("engine-2", "engine-3", "engine-4", "engine-5")) {
      list(entry(other, other.equals(same) ? "v1" : "v" + other));
    }

    crashDuring(stream);

    assertResumedAt(stream, same);
  }

  // Guards against callers that wait for a server that cannot come.
  @ParameterizedTest
  @EnumSource(Loss.class)
  void aStreamEndsAtOnceIfNoOtherServerOfItsSoftwareVersionIsListed(Loss loss) {
    list(entry(FIRST, "v1"));
    long stream = begin();
    list(entry(SECOND, "v1"));
    list(entry("engine-3", "v2"));
    harness.handle(loss.event(entry(SECOND, "v1")));

    crashDuring(stream);

    assertNotResumed(stream);
  }

  // Guards against a stream given up, or sent to another version, while its version is away.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aStreamWaitsForAServerOfItsSoftwareVersionThatIsAway(boolean comesBack) {
    list(entry(FIRST, "v1"));
    long stream = begin();
    list(entry(SECOND, "v1"));
    list(entry("engine-3", "v2"));
    setReady(SECOND, false);

    crashDuring(stream);

    assertThat(harness.isBrokenOff(stream)).isFalse();
    assertThat(harness.sends(stream)).isEqualTo(1);
    if (comesBack) {
      setReady(SECOND, true);
      harness.advance(ForwardCore.TICK_INTERVAL_MICROS);
      assertResumedAt(stream, SECOND);
    } else {
      harness.advance(WHOLE_WAIT_MICROS);
      assertNotResumed(stream);
    }
  }

  // Guards against a server taken for what it was before it came back under its identity.
  @ParameterizedTest
  @CsvSource({"v1, v2, false", "v2, v1, true", "v1, , false", ", v1, true"})
  void aServerThatCameBackCountsWithItsPresentSoftwareVersion(
      String before, String after, boolean isResumed) {
    list(entry(FIRST, "v1"));
    long stream = begin();
    list(entry(SECOND, before));
    list(ForwardHarness.startedAt(entry(SECOND, after), 2));

    crashDuring(stream);

    assertIsResumed(stream, isResumed);
  }

  // Guards against a server that restarted with other software before its new entry is read.
  @ParameterizedTest
  @CsvSource({"v1, 1, true", "v1, 2, true", "v2, 2, false", ", 2, false"})
  void aServerWhoseConnectionBrokeResumesNoStreamUntilItsEntryIsReadAgain(
      String readAgain, long startedAtMillis, boolean isResumed) {
    list(entry(FIRST, "v1"));
    long stream = begin();
    list(entry(SECOND, "v1"));
    breakOtherConnection(SECOND);

    crashDuring(stream);

    assertWithMessage("sends before the entry is read").that(harness.sends(stream)).isEqualTo(1);
    assertThat(harness.isBrokenOff(stream)).isFalse();
    list(ForwardHarness.startedAt(entry(SECOND, readAgain), startedAtMillis));
    assertIsResumed(stream, isResumed);
  }

  // Guards against a server whose sidecar reports a restart before its new entry is read.
  @ParameterizedTest
  @CsvSource({"1, v1, 1, true", "2, v1, 2, true", "2, v2, 2, false", "2, , 2, false"})
  void aServerReportedInAnotherIncarnationResumesNoStreamUntilItsEntryIsReadAgain(
      String reported, String readAgain, long startedAtMillis, boolean isResumed) {
    list(entry(FIRST, "v1"));
    long stream = begin();
    list(entry(SECOND, "v1"));
    setReady(SECOND, reported, true);

    crashDuring(stream);

    boolean isSameIncarnation = reported.equals("1");
    assertWithMessage("sends before the entry is read")
        .that(harness.sends(stream))
        .isEqualTo(isSameIncarnation ? 2 : 1);
    assertThat(harness.isBrokenOff(stream)).isFalse();
    list(ForwardHarness.startedAt(entry(SECOND, readAgain), startedAtMillis));
    assertIsResumed(stream, isResumed);
  }

  // Guards against a stream that begins at a server which restarted with other software unseen.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aStreamOfAServerWhoseConnectionBrokeHasAKnownOriginOnlyIfItsEntryWasReadAgain(
      boolean isReadAgain) {
    list(entry(FIRST, "v1"));
    breakOtherConnection(FIRST);
    if (isReadAgain) {
      list(entry(FIRST, "v1"));
    }
    long stream = begin();
    list(entry(SECOND, "v1"));

    crashDuring(stream);

    assertIsResumed(stream, isReadAgain);
  }

  // Guards against a response of a new incarnation taken for one of the server that was sent to.
  @ParameterizedTest
  @CsvSource({"v1, v1, true", "v2, v1, false", "v2, v2, false", ", v1, false"})
  void aStreamOfAServerThatRestartedBeforeItsResponseIsResumedOnlyIfItsSoftwareStayed(
      String after, String other, boolean isResumed) {
    list(entry(FIRST, "v1"));
    long stream = send();
    list(ForwardHarness.startedAt(entry(FIRST, after), 2));
    harness.respond(stream, 200);
    list(entry(SECOND, other));

    crashDuring(stream);

    assertIsResumed(stream, isResumed);
  }

  // Guards against an unknown software version taken for equal to another unknown one.
  @ParameterizedTest
  @CsvSource({
    "v1, 5, engine-2, v1, 9, true",
    "v1, 0, engine-2, v1, 0, true",
    "v1, 5, engine-1, v2, 5, false",
    "v1, 5, engine-1, , 5, false",
    ", 5, engine-1, , 5, true",
    ", 5, engine-1, v1, 5, true",
    ", 5, engine-1, , 6, false",
    ", 0, engine-1, , 0, false",
    ", 5, engine-2, , 5, false",
    ", 5, engine-2, v1, 5, false",
  })
  void anOriginAdmitsItsSoftwareVersionOrIfThatIsUnknownItsIncarnation(
      String began, long beganAt, String id, String other, long otherAt, boolean isAdmitted) {
    SoftwareOrigin origin =
        SoftwareOrigin.of(new Server(ForwardHarness.startedAt(entry(FIRST, began), beganAt)));
    Server candidate = new Server(ForwardHarness.startedAt(entry(id, other), otherAt));

    assertThat(origin.admits(candidate)).isEqualTo(isAdmitted);

    candidate.onFailure(0);
    assertThat(origin.admits(candidate)).isFalse();
    candidate.onListed(candidate.entry());
    assertThat(origin.admits(candidate)).isEqualTo(isAdmitted);
  }

  // Guards against requests lost between software versions before anything has reached a caller.
  @ParameterizedTest
  @CsvSource({"v1, v1", "v1, v2", "v1, ", ", v2", ", "})
  void aRequestWithoutAResponseIsRepeatedAtAnySoftwareVersion(String first, String second) {
    list(entry(FIRST, first));
    long request = send();
    list(entry(SECOND, second));

    harness.breakConnection(request, Optional.empty());

    assertThat(harness.sends(request)).isEqualTo(2);
    assertThat(harness.serverOf(request)).isEqualTo(SECOND);
  }
}

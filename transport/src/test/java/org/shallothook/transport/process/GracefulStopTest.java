package org.shallothook.transport.process;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Try;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A process that is told to stop at any moment of its start drains, or takes no request. */
@Timeout(60)
final class GracefulStopTest {
  private static final int STEPS = 4;
  private static final long TIMEOUT_SECONDS = 10;

  private final List<String> happened = new CopyOnWriteArrayList<>();
  private final CountDownLatch ended = new CountDownLatch(1);
  private final GracefulStop stop =
      new GracefulStop(this::drain, () -> happened.add("close"), this::install, this::end);
  private long drainableFromMicros = Long.MAX_VALUE;
  private Thread hook;

  private void install(Thread newHook) {
    happened.add("install");
    hook = newHook;
  }

  private void drain(long requestedMicros) {
    assertThat(requestedMicros).isAtMost(drainableFromMicros);
    happened.add("drain");
    stop.onDrained();
  }

  private void end() {
    happened.add("end");
    ended.countDown();
  }

  /** Tells the process to stop, and waits until it has noticed. */
  private void requestStop() {
    hook.start();
    while (hook.getState() == Thread.State.NEW || hook.getState() == Thread.State.RUNNABLE) {
      Thread.onSpinWait();
    }
  }

  private Supplier<Try<Void>> step(int number, boolean isStopped) {
    return () -> {
      happened.add("step " + number);
      if (isStopped) {
        requestStop();
        drainableFromMicros = Clock.steadyMicros();
      }
      return Try.success(null);
    };
  }

  private static IntStream moments() {
    return IntStream.rangeClosed(1, STEPS);
  }

  /** Guards against ending a process without a drain that has opened a listener already. */
  @ParameterizedTest
  @MethodSource("moments")
  void aStopDuringAnyStepDrainsAndLeavesTheOtherStepsOut(int stopped) throws Exception {
    List<Supplier<Try<Void>>> steps = new ArrayList<>();
    moments().forEach(number -> steps.add(step(number, number == stopped)));

    assertThat(stop.start(steps).isSuccess()).isTrue();

    assertThat(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    List<String> expected = new ArrayList<>(List.of("install"));
    IntStream.rangeClosed(1, stopped).forEach(number -> expected.add("step " + number));
    expected.addAll(List.of("drain", "close", "end"));
    assertThat(happened).containsExactlyElementsIn(expected).inOrder();
  }

  @Test
  void aStopBeforeTheFirstStepEndsAtOnce() throws Exception {
    GracefulStop immediate =
        new GracefulStop(
            this::drain,
            () -> happened.add("close"),
            newHook -> {
              install(newHook);
              requestStop();
            },
            this::end);

    assertThat(immediate.start(List.of(step(1, false))).isSuccess()).isTrue();

    assertThat(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(happened).containsExactly("install", "end").inOrder();
  }

  @Test
  void aStopAfterTheStartDrains() throws Exception {
    assertThat(stop.start(List.of(step(1, false), step(2, false))).isSuccess()).isTrue();
    hook.start();

    assertThat(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(happened)
        .containsExactly("install", "step 1", "step 2", "drain", "close", "end")
        .inOrder();
  }

  /** The exit code of a start that failed is left to the caller, also if the stop is requested. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aFailedStepEndsTheStartWithoutADrain(boolean isStopped) throws Exception {
    Supplier<Try<Void>> failing =
        () -> {
          if (isStopped) {
            requestStop();
          }
          return Try.failure(new IllegalStateException("in use"));
        };

    Try<Void> started = stop.start(List.of(failing, step(2, false)));
    if (!isStopped) {
      hook.start();
    }

    assertThat(started.getCause()).hasMessageThat().isEqualTo("in use");
    hook.join(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
    assertThat(happened).containsExactly("install");
  }

  @Test
  void aProcessThatIsEndingAlreadyOpensNothing() {
    GracefulStop late =
        new GracefulStop(
            this::drain,
            () -> happened.add("close"),
            newHook -> {
              throw new IllegalStateException("Shutdown in progress");
            },
            this::end);

    assertThat(late.start(List.of(step(1, false))).isSuccess()).isTrue();
    assertThat(happened).isEmpty();
  }
}

package org.shallothook.coordination.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Reordered, repeated and lost frames always yield a gapless prefix of the answer. */
final class StreamAssemblerTest {
  private static final int TOKENS = 20;

  private record Frame(int start, int count) {}

  @Property(seed = "41", tries = 500)
  void acceptedTokensAreAlwaysAGaplessPrefix(@ForAll("frames") List<Frame> frames) {
    StreamAssembler stream = new StreamAssembler();
    List<Integer> forwarded = new ArrayList<>();
    for (Frame frame : frames) {
      StreamAssembler.Verdict verdict =
          stream.accept(frame.start(), frame.count(), textOf(frame.start(), frame.count()));
      if (verdict == StreamAssembler.Verdict.NEXT) {
        for (int token = frame.start(); token < frame.start() + frame.count(); token++) {
          forwarded.add(token);
        }
      }
    }

    assertThat(forwarded).isInStrictOrder();
    assertThat(forwarded).hasSize(stream.position());
    assertThat(stream.text()).isEqualTo(textOf(0, stream.position()));
    assertThat(stream.isComplete(stream.position())).isTrue();
    assertThat(stream.isComplete(stream.position() + 1)).isFalse();
  }

  @Property(seed = "42", tries = 200)
  void repeatsOfAcceptedFramesAreDuplicates(@ForAll("frames") List<Frame> frames) {
    StreamAssembler stream = new StreamAssembler();
    List<Frame> accepted = new ArrayList<>();
    for (Frame frame : frames) {
      String text = textOf(frame.start(), frame.count());
      if (stream.accept(frame.start(), frame.count(), text) == StreamAssembler.Verdict.NEXT) {
        accepted.add(frame);
      }
    }
    for (Frame frame : accepted) {
      assertThat(stream.accept(frame.start(), frame.count(), "again"))
          .isEqualTo(StreamAssembler.Verdict.DUPLICATE);
    }
  }

  @Provide
  Arbitrary<List<Frame>> frames() {
    return Combinators.combine(
            Arbitraries.integers().between(0, TOKENS), Arbitraries.integers().between(1, 4))
        .as(Frame::new)
        .list()
        .ofMaxSize(80);
  }

  private static String textOf(int start, int count) {
    StringBuilder text = new StringBuilder();
    for (int token = start; token < start + count; token++) {
      text.append(token).append(' ');
    }
    return text.toString();
  }
}

package org.shallothook.benchmarks;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class PTest {
  @Test
  void one() {
    assertThat(1).isNotEqualTo(2);
  }
}

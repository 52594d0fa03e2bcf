package org.shallothook.state.cache;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ModelVersionTest {
  @ParameterizedTest
  @CsvSource({"linen-8b, 3, '', linen-8b@3", "linen-8b, 3, parish, linen-8b@3+parish"})
  void toStringShowsModelVersionAndAdapter(
      String model, String version, String adapter, String text) {
    assertThat(new ModelVersion(model, version, adapter).toString()).isEqualTo(text);
  }

  @ParameterizedTest
  @CsvSource({"'', 3", "linen-8b, ' '"})
  void blankNamesAreRejected(String model, String version) {
    assertThrows(IllegalArgumentException.class, () -> ModelVersion.of(model, version));
  }
}

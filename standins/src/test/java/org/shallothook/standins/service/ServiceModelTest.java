package org.shallothook.standins.service;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ServiceModelTest {
  @ParameterizedTest
  @CsvSource({"true,412,1", "false,200,2"})
  void staleFencingTokensAreRefusedIfChecked(boolean checksFencing, int status, int executions) {
    ServiceModel service = new ServiceModel("booking-1", checksFencing);
    assertThat(service.call("book", "key", OptionalLong.of(5)).status()).isEqualTo(200);
    assertThat(service.call("book", "key", OptionalLong.of(4)).status()).isEqualTo(status);
    assertThat(service.call("book", "other", OptionalLong.of(1)).status()).isEqualTo(200);
    assertThat(service.executions()).containsExactly("key", executions, "other", 1);
  }
}

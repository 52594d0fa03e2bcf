package org.shallothook.standins.weights;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class WeightStoreModelTest {
  @Test
  void moreThanTwoConcurrentFetchesSlowDownAndTheRateIsLimited() {
    WeightStoreModel store = new WeightStoreModel(600_000, 4);
    assertThat(store.begin(0)).hasValue(600_000);
    assertThat(store.begin(0)).hasValue(600_000);
    assertThat(store.begin(0)).hasValue(900_000);
    assertThat(store.begin(0)).hasValue(1_200_000);
    assertThat(store.begin(0)).isEmpty();
    assertThat(store.begin(1_200_000)).hasValue(1_800_000);
    assertThat(store.greatestConcurrent()).isEqualTo(4);
  }
}

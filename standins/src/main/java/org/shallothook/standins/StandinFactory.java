package org.shallothook.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.shallothook.standins.engine.EngineModel;
import org.shallothook.standins.engine.EngineSettings;
import org.shallothook.standins.http.CacheStoreStandin;
import org.shallothook.standins.http.EngineStandin;
import org.shallothook.standins.http.InstanceListStandin;
import org.shallothook.standins.http.LogStandin;
import org.shallothook.standins.http.ServiceStandin;
import org.shallothook.standins.http.Standin;
import org.shallothook.standins.http.StandinClient;
import org.shallothook.standins.http.StandinClock;
import org.shallothook.standins.http.WeightStoreStandin;
import org.shallothook.standins.instances.InstanceListModel;
import org.shallothook.standins.log.LogModel;
import org.shallothook.standins.log.LogSettings;
import org.shallothook.standins.service.ServiceModel;
import org.shallothook.standins.settings.SettingsSection;
import org.shallothook.standins.store.CacheStoreModel;
import org.shallothook.standins.weights.WeightStoreModel;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.Instance;

/** Creates stand-ins from their sections. Immutable and thread-safe. */
final class StandinFactory {
  private static final long WEIGHT_FETCH_MICROS = 600_000;
  private static final int WEIGHT_FETCHES_PER_SECOND = 4;
  private static final long LIST_LAG_MICROS = 1_000_000;
  private static final long SERVICE_LATENCY_MICROS = 5_000;
  private static final Pattern COMMA = Pattern.compile(",");
  private static final Pattern AT = Pattern.compile("@");
  private static final int STORE_BLOCKS = 4_000;

  private final StandinClient client;
  private final StandinClock clock;
  private final List<Instance> instances;

  StandinFactory(StandinClient client, StandinClock clock, List<Instance> instances) {
    this.client = client;
    this.clock = clock;
    this.instances = List.copyOf(instances);
  }

  /** Creates the stand-in of a section, which must not have other keys. */
  Standin create(SettingsSection section) {
    String type = section.requiredText("type");
    return switch (type) {
      case "model-engine" -> engine(section);
      case "log" -> log(section);
      case "instance-list" -> instanceList(section);
      case "weight-store" -> weightStore(section);
      case "cache-store" -> cacheStore(section);
      case "service" -> service(section);
      default ->
          throw section.problem(
              "type",
              "found '"
                  + type
                  + "'; write model-engine, log, instance-list, weight-store, cache-store or"
                  + " service.");
    };
  }

  private Standin engine(SettingsSection section) {
    EngineSettings defaults = EngineSettings.DEFAULT;
    EngineSettings settings =
        new EngineSettings(
            section.nonNegativeInt("block_tokens", defaults.blockTokens()),
            section.nonNegativeInt("block_bytes", defaults.blockBytes()),
            section.nonNegativeLong("prefill_tokens_per_second", defaults.prefillTokensPerSecond()),
            section.millisAsMicros("minimum_decode_millis", defaults.minimumDecodeMicros()),
            section.millisAsMicros("maximum_decode_millis", defaults.maximumDecodeMicros()),
            section.nonNegativeInt("maximum_running", defaults.maximumRunning()),
            section.nonNegativeInt("cache_blocks", defaults.cacheBlocks()),
            section.millisAsMicros("publish_delay_millis", defaults.publishDelayMicros()),
            section.millisAsMicros("load_lag_millis", defaults.loadLagMicros()),
            section.millisAsMicros("restart_millis", defaults.restartMicros()),
            section.flag("checks_fencing", defaults.checksFencing()),
            section.nonNegativeInt("minimum_answer_tokens", defaults.minimumAnswerTokens()),
            section.nonNegativeInt("maximum_answer_tokens", defaults.maximumAnswerTokens()));
    EngineModel model = new EngineModel(incarnationBase(section), settings, versions(section));
    return new EngineStandin(model, client, clock, section.address("weight_store"));
  }

  private String incarnationBase(SettingsSection section) {
    return section.name() + "-" + Long.toHexString(clock.nowMicros());
  }

  private static List<ModelVersion> versions(SettingsSection section) {
    List<ModelVersion> versions = new ArrayList<>();
    for (String entry : COMMA.split(section.requiredText("models"), -1)) {
      String[] parts = AT.split(entry.trim(), -1);
      if (parts.length < 2 || parts.length > 3 || parts[0].isBlank() || parts[1].isBlank()) {
        throw section.problem(
            "models",
            "found '" + entry.trim() + "'; write MODEL@VERSION or MODEL@VERSION@ADAPTER.");
      }
      versions.add(new ModelVersion(parts[0], parts[1], parts.length == 3 ? parts[2] : ""));
    }
    return versions;
  }

  private static Standin log(SettingsSection section) {
    LogSettings defaults = LogSettings.DEFAULT;
    return new LogStandin(
        new LogModel(
            new LogSettings(
                section.nonNegativeInt("retained_records", defaults.retainedRecords()),
                section.millisAsMicros("retention_millis", defaults.retentionMicros()),
                section.nonNegativeInt("appends_per_second", defaults.appendsPerSecond()))));
  }

  private Standin instanceList(SettingsSection section) {
    long lagMicros = section.millisAsMicros("lag_millis", LIST_LAG_MICROS);
    return new InstanceListStandin(new InstanceListModel(lagMicros, instances));
  }

  private static Standin weightStore(SettingsSection section) {
    return new WeightStoreStandin(
        new WeightStoreModel(
            section.millisAsMicros("fetch_millis", WEIGHT_FETCH_MICROS),
            section.nonNegativeInt("fetches_per_second", WEIGHT_FETCHES_PER_SECOND)));
  }

  private Standin cacheStore(SettingsSection section) {
    return new CacheStoreStandin(
        new CacheStoreModel(
            incarnationBase(section),
            section.nonNegativeInt("capacity_blocks", STORE_BLOCKS),
            section.millisAsMicros(
                "publish_delay_millis", EngineSettings.DEFAULT.publishDelayMicros())));
  }

  private Standin service(SettingsSection section) {
    ServiceModel model =
        new ServiceModel(incarnationBase(section), section.flag("checks_fencing", false));
    return new ServiceStandin(
        model, section.millisAsMicros("latency_millis", SERVICE_LATENCY_MICROS));
  }
}

package org.shallothook.transport.admin;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.Lazy;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.shallothook.transport.metrics.PrometheusText;

/**
 * Exports all metrics as Prometheus text, or as JSON if requested by {@code Accept} or {@code
 * ?format=json}.
 *
 * <p>Thread-safe.
 */
final class MetricsHandler implements AdminHandler {
  private static final String JSON = "application/json";

  private final MetricRegistry registry;

  /**
   * Created on the first request for JSON, because loading Jackson would slow the start noticeably.
   */
  private final Lazy<ObjectMapper> mapper = Lazy.of(MetricsHandler::newMapper);

  MetricsHandler(MetricRegistry registry) {
    this.registry = registry;
  }

  @Override
  public CompletionStage<AdminResponse> handle(AdminRequest request) {
    return CompletableFuture.completedFuture(isJson(request) ? json() : text());
  }

  private static ObjectMapper newMapper() {
    return new ObjectMapper()
        .registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));
  }

  private static boolean isJson(AdminRequest request) {
    return request.query().contains("format=json")
        || request.accept().filter(accept -> accept.contains(JSON)).isPresent();
  }

  private AdminResponse text() {
    return new AdminResponse(200, PrometheusText.CONTENT_TYPE, PrometheusText.of(registry));
  }

  private AdminResponse json() {
    try {
      return AdminResponse.ok(mapper.get().writeValueAsString(registry));
    } catch (JsonProcessingException e) {
      return AdminResponse.json(500, "{\"error\":\"The metrics could not be converted to JSON.\"}");
    }
  }
}

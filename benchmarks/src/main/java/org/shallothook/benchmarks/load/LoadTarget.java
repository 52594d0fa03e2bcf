package org.shallothook.benchmarks.load;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.shallothook.benchmarks.demo.DeploymentReader;
import org.shallothook.benchmarks.demo.ExampleDeployment;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.configuration.TemplateParser;

/**
 * A held demonstration that the load is sent to.
 *
 * <p>Immutable but for its connections; used on one thread.
 */
final class LoadTarget {
  private static final String ENGINE = "model-engine";
  private static final String REQUEST_ID = "shallothook-request-id";
  private static final int WARM_UP_ROUNDS = 2;

  private final Path folder;
  private final ExampleDeployment deployment;
  private final int tokens;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  LoadTarget(Path folder, int tokens) {
    this.folder = folder;
    this.deployment = DeploymentReader.read(folder);
    this.tokens = tokens;
  }

  /** Returns a chat for each tenant of each team. */
  List<LoadPrompt> prompts() throws IOException {
    List<LoadPrompt> prompts = new ArrayList<>();
    for (ExampleDeployment.Team team : deployment.teams()) {
      Path file = folder.resolve("templates").resolve(team.name() + ".ini");
      TeamTemplate template = TemplateParser.parse(Files.readString(file)).get();
      for (String tenant : team.tenants()) {
        prompts.add(LoadPrompt.of(team, template, tenant, tokens));
      }
    }
    return prompts;
  }

  /** Sends each chat through a router until it is cached, and returns the upstream that ran it. */
  Map<LoadPrompt, String> warmUp(List<LoadPrompt> prompts)
      throws IOException, InterruptedException {
    Map<LoadPrompt, String> upstreams = new LinkedHashMap<>();
    ExampleDeployment.Router router = deployment.routers().get(0);
    RouterArm arm = new RouterArm(List.of(router.callers()), tokens);
    for (LoadPrompt prompt : prompts) {
      for (int round = 0; round < WARM_UP_ROUNDS; round++) {
        HttpResponse<String> answer =
            client.send(arm.request(router.callers(), prompt), BodyHandlers.ofString());
        String request = answer.headers().firstValue(REQUEST_ID).orElse("");
        upstreams.put(prompt, upstreamOf(router, request));
      }
    }
    return upstreams;
  }

  RouterArm routerArm() {
    return new RouterArm(
        deployment.routers().stream().map(ExampleDeployment.Router::callers).toList(), tokens);
  }

  DirectArm directArm(Map<LoadPrompt, String> upstreams) throws IOException, InterruptedException {
    Map<String, String> addresses =
        deployment.upstreams().stream()
            .filter(upstream -> upstream.role().equals(ENGINE))
            .collect(
                Collectors.toMap(
                    ExampleDeployment.Upstream::name, ExampleDeployment.Upstream::peers));
    return new DirectArm(upstreams, addresses, configurationOffset(), tokens);
  }

  /** Returns the routers' processes. */
  RouterProcessor processor() {
    return RouterProcessor.find(
        deployment.routers().stream()
            .map(router -> folder.resolve("settings").resolve(router.name() + ".ini"))
            .map(file -> file.toAbsolutePath().normalize().toString())
            .toList());
  }

  /** Makes every engine slower by a factor; 1 is its own speed. */
  void slow(double factor) throws IOException, InterruptedException {
    for (ExampleDeployment.Upstream upstream : deployment.upstreams()) {
      if (upstream.role().equals(ENGINE)) {
        HttpRequest request =
            request(upstream.control(), "/control/slow")
                .POST(HttpRequest.BodyPublishers.ofString("{\"factor\":" + factor + "}"))
                .build();
        bodyOf(request);
      }
    }
  }

  private long configurationOffset() throws IOException, InterruptedException {
    ExampleDeployment.Router router = deployment.routers().get(0);
    String body = bodyOf(request(router.admin(), "/in-force").build());
    return JsonParser.parseString(body)
        .getAsJsonObject()
        .getAsJsonObject("offsets")
        .get(router.name())
        .getAsLong();
  }

  private String upstreamOf(ExampleDeployment.Router router, String request)
      throws IOException, InterruptedException {
    String body = bodyOf(request(router.admin(), "/explain/" + request).build());
    JsonArray attempts = JsonParser.parseString(body).getAsJsonObject().getAsJsonArray("attempts");
    JsonObject last = attempts.get(attempts.size() - 1).getAsJsonObject();
    return last.get("upstream").getAsString();
  }

  private String bodyOf(HttpRequest request) throws IOException, InterruptedException {
    HttpResponse<String> answer = client.send(request, BodyHandlers.ofString());
    if (answer.statusCode() != 200) {
      throw new IOException(request.uri() + " answered " + answer.statusCode());
    }
    return answer.body();
  }

  private static HttpRequest.Builder request(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path));
  }
}

package org.shallothook.coordination.router;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.shallothook.coordination.message.CrashRole;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.Hint;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationRecord;
import org.shallothook.state.configuration.ConfigurationRecordText;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/** Drives a router core with events under a virtual clock and records its commands. */
final class RouterHarness {
  private static final int BLOCK_BYTES = 100;
  static final String KEY = "linen-key";
  static final String MODEL = "linen-8b";
  static final ModelVersion VERSION = ModelVersion.of(MODEL, "3");
  static final String SERVICE = "bookings";

  final List<RouterCommand> commands = new ArrayList<>();
  final Map<String, Long> counters = new HashMap<>();
  final RouterCore core;
  long now = 1_000_000_000L;

  private final List<LogRecord> configuration = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private long listVersion;
  private long requests;

  RouterHarness(RouterOptions.Builder options) {
    core =
        new RouterCore(
            options
                .name("router-1")
                .failureDomain("a")
                .region("north")
                .blockBytes(BLOCK_BYTES)
                .counters(name -> counters.merge(name, 1L, Long::sum))
                .build(),
            commands::add);
  }

  /**
   * Returns a router with a configured team and ready engines, which are distributed over three
   * failure domains in turn.
   */
  static RouterHarness ready(int engines) {
    return ready(engines, RouterOptions.builder());
  }

  static RouterHarness ready(int engines, RouterOptions.Builder options) {
    RouterHarness harness = new RouterHarness(options);
    harness.publish(template("linen", KEY, "3", ""));
    for (int engine = 1; engine <= engines; engine++) {
      String domain = List.of("a", "b", "c").get((engine - 1) % 3);
      harness.addInstance("engine-" + engine, InstanceRole.MODEL_ENGINE, domain, "");
    }
    harness.addInstance("booking-1", InstanceRole.SERVICE, "a", SERVICE);
    harness.addInstance("booking-2", InstanceRole.SERVICE, "b", SERVICE);
    harness.addInstance("router-2", InstanceRole.ROUTER, "b", "");
    harness.listInstances();
    for (int engine = 1; engine <= engines; engine++) {
      harness.status("engine-" + engine, false, VERSION);
    }
    harness.status("booking-1", false);
    harness.status("booking-2", false);
    harness.commands.clear();
    return harness;
  }

  static String template(String team, String key, String version, String extra) {
    return "[team]\nname = "
        + team
        + "\nkey-sha256 = "
        + sha256(key)
        + "\nmodel = "
        + MODEL
        + "\nversion = "
        + version
        + "\n[rulebook]\ntext = "
        + "rule ".repeat(200)
        + "\n[tenant parish]\ntext = "
        + "register ".repeat(60)
        + "\n[service "
        + SERVICE
        + "]\nrepeatable-paths = read\n"
        + extra;
  }

  void publish(String template) {
    String name = template.lines().filter(line -> line.startsWith("name")).findFirst().get();
    ConfigurationRecord.Change change =
        new ConfigurationRecord.Change(
            "change-" + configuration.size(),
            configuration.size(),
            name.substring(name.indexOf('=') + 1).trim(),
            Optional.of(template));
    append(ConfigurationRecordText.write(change));
  }

  void append(String payload) {
    configuration.add(new LogRecord(configuration.size(), now, payload));
    send(
        new RouterEvent.LogRead(
            new LogPage("configuration", 0, configuration.size(), configuration)));
  }

  void addInstance(String name, InstanceRole role, String domain, String service) {
    instances.removeIf(instance -> instance.name().equals(name));
    instances.add(new Instance(name, role, "127.0.0.1:1", domain, "north", service, false));
  }

  void markLeaving(String name, boolean isLeaving) {
    instances.replaceAll(
        instance ->
            instance.name().equals(name)
                ? new Instance(
                    instance.name(),
                    instance.role(),
                    instance.address(),
                    instance.failureDomain(),
                    instance.region(),
                    instance.service(),
                    isLeaving)
                : instance);
    listInstances();
  }

  void unlist(String name) {
    instances.removeIf(instance -> instance.name().equals(name));
    listInstances();
  }

  void listInstances() {
    listVersion++;
    send(new RouterEvent.InstancesRead(new InstanceList(listVersion, instances)));
  }

  void status(String upstream, boolean isLeaving, ModelVersion... ready) {
    receive(upstream, new PeerMessage.SidecarStatus(upstream, "e-1", List.of(ready), isLeaving, 0));
  }

  void send(RouterEvent event) {
    core.handle(event, now);
  }

  void receive(String sender, PeerMessage message) {
    send(
        new RouterEvent.PeerMessageReceived(
            new Envelope(sender, 1, configuration.size(), message)));
  }

  void advance(long micros) {
    long end = now + micros;
    while (now < end) {
      now = Math.min(end, now + RouterCore.TICK_INTERVAL_MICROS);
      send(new RouterEvent.Tick());
    }
  }

  RequestId chat(String... contents) {
    return chat(KEY, MODEL, Optional.of("parish"), contents);
  }

  RequestId chat(String key, String model, Optional<String> tenant, String... contents) {
    RequestId request = RequestId.of("router-1", 1, ++requests);
    List<ChatMessage> messages = new ArrayList<>();
    for (String content : contents) {
      messages.add(new ChatMessage(messages.size() % 2 == 0 ? "user" : "assistant", content));
    }
    send(
        new RouterEvent.ChatRequested(
            request, key, model, tenant, messages, true, Optional.empty(), Optional.empty()));
    return request;
  }

  RequestId call(String path, Optional<String> idempotencyKey) {
    RequestId request = RequestId.of("router-1", 1, ++requests);
    send(
        new RouterEvent.CallRequested(
            request, KEY, SERVICE, path, idempotencyKey, "application/json", "{}"));
    return request;
  }

  /**
   * Accepts the latest offer of a request and returns its attempt, to which the router then submits
   * the prompt.
   */
  AttemptId acceptLatest(RequestId request) {
    return accept(latestOffer(request));
  }

  AttemptId accept(Sent<PeerMessage.Offer> offer) {
    reply(offer, Optional.empty(), new Hint(blocksOf(offer.message()), 0, 1, 0));
    return offer.message().attempt();
  }

  /**
   * Returns the number of whole blocks of an offered prompt. The offer itself carries only a sample
   * of their keys.
   */
  static int blocksOf(PeerMessage.Offer offer) {
    return offer.promptBytes() / BLOCK_BYTES;
  }

  void reply(Sent<PeerMessage.Offer> offer, Optional<RefusalReason> refusal, Hint hint) {
    receive(
        offer.peer(),
        new PeerMessage.OfferReply(offer.message().attempt(), refusal, hint, now + 500_000));
  }

  void tokens(AttemptId attempt, int position, String text) {
    receive(upstreamOf(attempt), new PeerMessage.Tokens(attempt, position, 1, text));
  }

  void ended(AttemptId attempt, int position) {
    receive(upstreamOf(attempt), new PeerMessage.Ended(attempt, position, "stop", 2));
  }

  void failed(AttemptId attempt, RefusalReason reason, Outcome outcome, CrashRole role) {
    receive(upstreamOf(attempt), new PeerMessage.Failed(attempt, reason, outcome, "test", 0, role));
  }

  String upstreamOf(AttemptId attempt) {
    return core.explain(attempt.request()).orElseThrow().attempts().stream()
        .filter(explained -> explained.number() == attempt.number())
        .findFirst()
        .orElseThrow()
        .upstream();
  }

  Sent<PeerMessage.Offer> latestOffer(RequestId request) {
    List<Sent<PeerMessage.Offer>> offers =
        sent(PeerMessage.Offer.class, message -> message.attempt().request().equals(request));
    return offers.get(offers.size() - 1);
  }

  List<Sent<PeerMessage.Offer>> offers(RequestId request) {
    return sent(PeerMessage.Offer.class, message -> message.attempt().request().equals(request));
  }

  <T extends PeerMessage> List<Sent<T>> sent(Class<T> type, Predicate<T> predicate) {
    List<Sent<T>> found = new ArrayList<>();
    for (RouterCommand command : commands) {
      if (command instanceof RouterCommand.SendToPeer send && type.isInstance(send.message())) {
        T message = type.cast(send.message());
        if (predicate.test(message)) {
          found.add(new Sent<>(send.peer(), message));
        }
      }
    }
    return found;
  }

  <T extends RouterCommand> List<T> commands(Class<T> type) {
    return commands.stream().filter(type::isInstance).map(type::cast).toList();
  }

  Optional<Refusal> refusal(RequestId request) {
    return commands(RouterCommand.Refuse.class).stream()
        .filter(refuse -> refuse.request().equals(request))
        .map(RouterCommand.Refuse::refusal)
        .findFirst();
  }

  String answer(RequestId request) {
    StringBuilder text = new StringBuilder();
    for (RouterCommand.SendTokens tokens : commands(RouterCommand.SendTokens.class)) {
      if (tokens.request().equals(request)) {
        text.append(tokens.text());
      }
    }
    return text.toString();
  }

  boolean isComplete(RequestId request) {
    return commands(RouterCommand.CompleteAnswer.class).stream()
        .anyMatch(complete -> complete.request().equals(request));
  }

  long counter(String name) {
    return counters.getOrDefault(name, 0L);
  }

  private static String sha256(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A message and the peer that it was sent to. */
  record Sent<T extends PeerMessage>(String peer, T message) {}
}

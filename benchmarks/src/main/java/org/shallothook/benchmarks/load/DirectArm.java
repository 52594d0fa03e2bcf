package org.shallothook.benchmarks.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.peer.PeerIdentity;
import org.shallothook.transport.peer.PeerListener;
import org.shallothook.transport.peer.PeerNetwork;
import org.shallothook.transport.peer.PeerSettings;
import org.shallothook.transport.process.Clock;

/** Sends chats to sidecars over the protocol between peers, without a router. */
final class DirectArm implements Arm, PeerListener {
  private static final String NAME = "load";

  /** Sidecars know a peer by its name, so that each arm has one of its own. */
  private static final AtomicInteger ARMS = new AtomicInteger();

  private static final long DEADLINE_MICROS = 10_000_000;

  private final Map<LoadPrompt, Prepared> prepared;
  private final Map<AttemptId, Open> open = new ConcurrentHashMap<>();
  private final EventLoops loops = EventLoops.create(1);
  private final PeerNetwork network;
  private final int tokens;
  private final long configurationOffset;
  private final String name = NAME + "-" + ARMS.incrementAndGet();
  private final long incarnation = Clock.nowMicros();
  private final AtomicLong sent = new AtomicLong();

  /** A prompt as it goes out, and the upstream that gets it. */
  private record Prepared(String upstream, String text, List<BlockKey> keys) {}

  /** One chat under way. */
  private record Open(Prepared prompt, Reply reply) {}

  /**
   * Creates an arm.
   *
   * @param upstreams upstream that gets each prompt
   * @param addresses addresses of the sidecars' peer ports by name
   * @param configurationOffset offset that the sidecars have in force
   * @param tokens tokens of each answer
   */
  DirectArm(
      Map<LoadPrompt, String> upstreams,
      Map<String, String> addresses,
      long configurationOffset,
      int tokens) {
    this.configurationOffset = configurationOffset;
    this.tokens = tokens;
    this.prepared =
        upstreams.entrySet().stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    Map.Entry::getKey, entry -> prepare(entry.getKey(), entry.getValue())));
    PeerIdentity identity = new PeerIdentity(name, incarnation, InstanceRole.ROUTER, NAME);
    network =
        new PeerNetwork(identity, PeerSettings.DEFAULT, loops.internal(), this, Counters.NONE);
    network.peersChanged(
        addresses.entrySet().stream()
            .map(entry -> sidecar(entry.getKey(), entry.getValue()))
            .toList());
  }

  @Override
  public void send(LoadPrompt prompt, int number, Reply reply) {
    AttemptId attempt =
        new AttemptId(new RequestId(name + "-" + incarnation + "-" + sent.incrementAndGet()), 1);
    Prepared chosen = prepared.get(prompt);
    open.put(attempt, new Open(chosen, reply));
    PeerMessage offer =
        new PeerMessage.Offer(
            attempt,
            prompt.template().cacheIdentity(),
            PriorityClass.ORDINARY,
            chosen.keys(),
            chosen.text().length(),
            tokens,
            Clock.nowMicros() + DEADLINE_MICROS,
            0,
            attempt.toString(),
            false,
            0);
    network.send(chosen.upstream(), offer, configurationOffset);
  }

  @Override
  public void messageReceived(Envelope envelope) {
    PeerMessage message = envelope.message();
    if (message instanceof PeerMessage.OfferReply reply) {
      answerReply(reply);
    } else if (message instanceof PeerMessage.Tokens received && received.position() == 0) {
      find(received.attempt(), Reply::firstToken);
    } else if (message instanceof PeerMessage.Ended ended) {
      end(ended.attempt(), true);
    } else if (message instanceof PeerMessage.Failed failed) {
      end(failed.attempt(), false);
    }
  }

  @Override
  public void peerUnreachable(String peer) {
    peerLost(peer);
  }

  @Override
  public void peerLost(String peer) {
    open.entrySet().stream()
        .filter(entry -> entry.getValue().prompt().upstream().equals(peer))
        .map(Map.Entry::getKey)
        .toList()
        .forEach(attempt -> end(attempt, false));
  }

  @Override
  public void close() {
    network.close();
    loops.close();
  }

  private void answerReply(PeerMessage.OfferReply reply) {
    Open chat = open.get(reply.attempt());
    if (chat == null) {
      return;
    }
    if (reply.refusal().isPresent()) {
      end(reply.attempt(), false);
      return;
    }
    network.send(
        chat.prompt().upstream(),
        new PeerMessage.Submit(reply.attempt(), chat.prompt().text(), ""),
        configurationOffset);
  }

  private void find(AttemptId attempt, Consumer<Reply> action) {
    Open chat = open.get(attempt);
    if (chat != null) {
      action.accept(chat.reply());
    }
  }

  private void end(AttemptId attempt, boolean isComplete) {
    Open chat = open.remove(attempt);
    if (chat != null) {
      chat.reply().ended(isComplete);
    }
  }

  private static Prepared prepare(LoadPrompt prompt, String upstream) {
    return new Prepared(upstream, prompt.rendered(), prompt.keys());
  }

  private static Instance sidecar(String name, String address) {
    return new Instance(name, InstanceRole.MODEL_ENGINE, address, NAME, NAME, "", false);
  }
}

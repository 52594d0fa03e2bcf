package org.shallothook.transport.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.peer.ConnectionCodec;
import org.shallothook.protocol.peer.EnvelopeCodec;
import org.shallothook.state.membership.InstanceRole;

/**
 * A peer on a blocking socket, which sends exactly the bytes that the test gives it. Not
 * thread-safe.
 */
final class RawPeer implements AutoCloseable {
  private final ServerSocket server;
  private Socket socket;
  private Optional<Envelope> ownHello = Optional.empty();
  private Optional<Envelope> peerHello = Optional.empty();

  RawPeer() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  void accept() throws IOException {
    socket = server.accept();
    socket.setTcpNoDelay(true);
    peerHello = Optional.empty();
  }

  void connect(InetSocketAddress address) throws IOException {
    socket = new Socket(address.getAddress(), address.getPort());
    socket.setTcpNoDelay(true);
    peerHello = Optional.empty();
  }

  void sendHello(String name, long incarnation) throws IOException {
    PeerMessage hello = new PeerMessage.Hello(InstanceRole.MODEL_ENGINE, "a");
    Envelope envelope = new Envelope(name, incarnation, 0, hello);
    ownHello = Optional.of(envelope);
    send(EnvelopeCodec.encode(envelope));
  }

  void send(byte[] frame) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(frame.length);
    out.write(frame);
  }

  void sendLength(int length) throws IOException {
    new DataOutputStream(socket.getOutputStream()).writeInt(length);
  }

  Envelope read() throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    int length = in.readInt();
    while (length == 0) {
      length = in.readInt();
    }
    byte[] frame = in.readNBytes(length);
    if (peerHello.isPresent()) {
      ConnectionCodec codec = new ConnectionCodec(ownHello.orElseThrow(), peerHello.get(), true);
      return codec.decode(ByteBuffer.wrap(frame)).get();
    }
    Envelope first = EnvelopeCodec.decode(ByteBuffer.wrap(frame)).get();
    peerHello = Optional.of(first);
    return first;
  }

  /** Reads until the other side closes the connection. */
  void readToEnd() {
    try {
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      // A connection reset counts as closed, too.
      return;
    }
  }

  /** Sends raw bytes and shuts the output down; ignores an earlier close by the other side. */
  void sendLast(byte[] bytes) {
    try {
      socket.getOutputStream().write(bytes);
      socket.shutdownOutput();
    } catch (IOException e) {
      // The other side closed the connection before everything was written.
      return;
    }
  }

  void closeConnection() throws IOException {
    socket.close();
  }

  @Override
  public void close() throws IOException {
    server.close();
    if (socket != null) {
      socket.close();
    }
  }
}

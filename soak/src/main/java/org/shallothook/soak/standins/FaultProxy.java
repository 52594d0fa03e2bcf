package org.shallothook.soak.standins;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * TCP proxy to one address that can inject {@link LinkFault}s.
 *
 * <p>Invariant: forwarded bytes keep their order. A connection that has dropped bytes in one
 * direction forwards nothing more in that direction, and is reset when the fault is removed. Runs
 * on the event loop; public methods are thread-safe.
 */
public final class FaultProxy {
  private final EventLoopGroup loop;
  private final InetSocketAddress target;
  private final Channel listening;
  private final Set<Channel> channels = new HashSet<>();
  private final Set<Channel> incomplete = new HashSet<>();
  private LinkFault fault = LinkFault.NONE;

  /** Starts a proxy without a fault. */
  public FaultProxy(EventLoopGroup loop, InetSocketAddress target) {
    this.loop = loop;
    this.target = target;
    listening =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    connect(channel);
                  }
                })
            .bind(InetAddress.getLoopbackAddress(), 0)
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the address that the proxy listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listening.localAddress();
  }

  /** Sets the fault of the link from now on; {@link LinkFault#NONE} removes it. */
  public void setFault(LinkFault newFault) {
    loop.execute(
        () -> {
          fault = newFault;
          if (newFault == LinkFault.NONE) {
            Set.copyOf(incomplete).forEach(FaultProxy::reset);
            incomplete.clear();
          }
        });
  }

  /** Resets every connection through the proxy. */
  public void resetAll() {
    loop.execute(() -> Set.copyOf(channels).forEach(FaultProxy::reset));
  }

  private void connect(SocketChannel client) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(client.eventLoop())
            .channel(NioSocketChannel.class)
            .handler(new Relay(client, () -> fault.passesResponses()));
    bootstrap
        .connect(target)
        .addListener(
            (ChannelFutureListener)
                connecting -> {
                  if (connecting.isSuccess()) {
                    client
                        .pipeline()
                        .addLast(new Relay(connecting.channel(), () -> fault.passesRequests()));
                    channels.add(client);
                    client.config().setAutoRead(true);
                  } else {
                    var unused = client.close();
                  }
                });
  }

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    var unused = channel.close();
  }

  /** Forwards the bytes received on one channel to the other. */
  private final class Relay extends ChannelInboundHandlerAdapter {
    private final Channel other;
    private final BooleanSupplier isForwarding;
    private final Queue<Runnable> tasks = new ArrayDeque<>();

    Relay(Channel other, BooleanSupplier isForwarding) {
      this.other = other;
      this.isForwarding = isForwarding;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
      boolean hasGap = incomplete.contains(context.channel());
      if (hasGap || !isForwarding.getAsBoolean()) {
        ReferenceCountUtil.release(bytes);
        incomplete.add(context.channel());
        return;
      }
      runDelayed(
          context,
          () -> {
            var unused = other.writeAndFlush(bytes);
          });
    }

    /** Runs a task after the link's delay; tasks run in the order of the calls. */
    private void runDelayed(ChannelHandlerContext context, Runnable task) {
      tasks.add(task);
      // Timers may fire out of order, so each runs the oldest task rather than its own.
      var unused =
          context
              .executor()
              .schedule(() -> tasks.remove().run(), fault.delayMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      other.config().setAutoRead(context.channel().isWritable());
      context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      channels.remove(context.channel());
      incomplete.remove(context.channel());
      runDelayed(
          context,
          () -> {
            var unused = other.close();
          });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug("fault proxy: a connection failed: {}", cause.getMessage());
      reset(other);
      var unused = context.close();
    }
  }
}

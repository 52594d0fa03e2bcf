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
 * A link to one address that can be disturbed.
 *
 * <p>Invariant: bytes that are passed on keep their order. A connection that lost bytes in one
 * direction passes nothing more on in it, and is reset when the link is healed. Runs on the loop;
 * public methods are thread-safe.
 */
public final class FaultProxy {
  private final EventLoopGroup loop;
  private final InetSocketAddress target;
  private final Channel listening;
  private final Set<Channel> channels = new HashSet<>();
  private final Set<Channel> incomplete = new HashSet<>();
  private LinkFault fault = LinkFault.NONE;

  /** Starts an undisturbed link. */
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

  /** Returns where the link begins. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listening.localAddress();
  }

  /** Disturbs the link from now on, or heals it. */
  public void disturb(LinkFault newFault) {
    loop.execute(
        () -> {
          fault = newFault;
          if (newFault == LinkFault.NONE) {
            Set.copyOf(incomplete).forEach(FaultProxy::reset);
            incomplete.clear();
          }
        });
  }

  /** Resets every connection over the link. */
  public void resetAll() {
    loop.execute(() -> Set.copyOf(channels).forEach(FaultProxy::reset));
  }

  private void connect(SocketChannel near) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(near.eventLoop())
            .channel(NioSocketChannel.class)
            .handler(new Relay(near, () -> fault.passesAnswers()));
    bootstrap
        .connect(target)
        .addListener(
            (ChannelFutureListener)
                connecting -> {
                  if (connecting.isSuccess()) {
                    near.pipeline()
                        .addLast(new Relay(connecting.channel(), () -> fault.passesRequests()));
                    channels.add(near);
                    near.config().setAutoRead(true);
                  } else {
                    var unused = near.close();
                  }
                });
  }

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    var unused = channel.close();
  }

  /** Passes what one side sends on to the other. */
  private final class Relay extends ChannelInboundHandlerAdapter {
    private final Channel other;
    private final BooleanSupplier isPassing;
    private final Queue<Runnable> tasks = new ArrayDeque<>();

    Relay(Channel other, BooleanSupplier isPassing) {
      this.other = other;
      this.isPassing = isPassing;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
      boolean hasGap = incomplete.contains(context.channel());
      if (hasGap || !isPassing.getAsBoolean()) {
        ReferenceCountUtil.release(bytes);
        incomplete.add(context.channel());
        return;
      }
      later(
          context,
          () -> {
            var unused = other.writeAndFlush(bytes);
          });
    }

    /** Runs a task after the delay of the link, in the order given. */
    private void later(ChannelHandlerContext context, Runnable task) {
      tasks.add(task);
      // Timers may fire in another order than they were set; the tasks keep theirs.
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
      later(
          context,
          () -> {
            var unused = other.close();
          });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug("link: a connection failed: {}", cause.getMessage());
      reset(other);
      var unused = context.close();
    }
  }
}

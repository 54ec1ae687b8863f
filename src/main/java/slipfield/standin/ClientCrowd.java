package slipfield.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Clients that connect to one sender, behave badly, and connect again when they are shut. All on one event loop. It counts which
 * of them were left with neither an answer nor a close for longer than bad clients are owed one.
 */
public final class ClientCrowd implements AutoCloseable {
    private static final long AGAIN_MS = 100;
    private static final long REPEAT_MS = 10;
    private static final long END_MS = 1000;
    /** Within this after connecting a bad client is owed an error or a close. */
    private static final long OWED_MS = 3000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Bootstrap bootstrap;
    private final List<CrowdBehavior> behaviors;
    private final Set<Channel> standing = new HashSet<>();
    private int most;
    private int left;
    private boolean closed;

    /** So many clients from now on, with these behaviors in turn. */
    public ClientCrowd(InetSocketAddress sender, int size, List<CrowdBehavior> behaviors) {
        this.behaviors = behaviors;
        bootstrap = new Bootstrap().group(loop).channelFactory(NioSocketChannel::new).remoteAddress(sender)
                .option(ChannelOption.TCP_NODELAY, true);
        loop.execute(() -> {
            for (int i = 0; i < size; i++) {
                connect(i);
            }
        });
    }

    private void connect(int number) {
        if (closed) {
            return;
        }
        Client client = new Client(number, behaviors.get(number % behaviors.size()));
        bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.config().setAutoRead(client.behavior.reads());
                channel.pipeline().addLast(client);
            }
        }).connect().addListener((ChannelFuture connected) -> {
            if (!connected.isSuccess()) {
                connectLater(number);
            }
        });
    }

    private void connectLater(int number) {
        if (!closed) {
            loop.schedule(() -> connect(number), AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The most that stood at once so far. */
    public int most() {
        return loop.submit(() -> most).syncUninterruptibly().getNow();
    }

    /** How many that began a request had neither an answer nor a close within the time that they are owed it. */
    public int left() {
        return loop.submit(() -> left).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        loop.submit(() -> {
            closed = true;
            Set.copyOf(standing).forEach(Channel::close);
        }).syncUninterruptibly();
        group.shutdownGracefully(0, END_MS, TimeUnit.MILLISECONDS);
    }

    private final class Client extends SimpleChannelInboundHandler<ByteBuf> {
        private final int number;
        private final CrowdBehavior behavior;
        private boolean answered;

        Client(int number, CrowdBehavior behavior) {
            this.number = number;
            this.behavior = behavior;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            standing.add(ctx.channel());
            most = Math.max(most, standing.size());
            ctx.writeAndFlush(Unpooled.wrappedBuffer(behavior.first()));
            if (behavior.repeated().length > 0) {
                repeatLater(ctx.channel());
            }
            if (behavior.reads()) {
                loop.schedule(() -> {
                    if (ctx.channel().isActive() && !answered && !closed) {
                        left++;
                    }
                }, OWED_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void repeatLater(Channel channel) {
            loop.schedule(() -> {
                if (channel.isActive() && !closed) {
                    channel.writeAndFlush(Unpooled.wrappedBuffer(behavior.repeated()));
                    repeatLater(channel);
                }
            }, REPEAT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf data) {
            answered = true;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            standing.remove(ctx.channel());
            connectLater(number);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A reset while it writes: it connects again.
            ctx.close();
        }
    }
}

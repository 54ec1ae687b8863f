package slipfield.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Clients that connect to one sender, ask nothing, and connect again when they are shut. All on one event loop. */
final class ClientCrowd implements AutoCloseable {
    private static final long AGAIN_MS = 100;
    private static final long END_MS = 1000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Bootstrap bootstrap;
    private final Set<Channel> standing = new HashSet<>();
    private boolean closed;

    /** So many of them, from now on. */
    ClientCrowd(InetSocketAddress sender, int size) {
        bootstrap = new Bootstrap().group(loop).channelFactory(NioSocketChannel::new).remoteAddress(sender)
                .handler(new ChannelInboundHandlerAdapter());
        loop.execute(() -> {
            for (int i = 0; i < size; i++) {
                connect();
            }
        });
    }

    private void connect() {
        if (closed) {
            return;
        }
        bootstrap.connect().addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                standing.add(connected.channel());
                connected.channel().closeFuture().addListener(shut -> {
                    standing.remove(connected.channel());
                    connectLater();
                });
            } else {
                connectLater();
            }
        });
    }

    private void connectLater() {
        if (!closed) {
            loop.schedule(this::connect, AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        loop.submit(() -> {
            closed = true;
            Set.copyOf(standing).forEach(Channel::close);
        }).syncUninterruptibly();
        group.shutdownGracefully(0, END_MS, TimeUnit.MILLISECONDS);
    }
}

package slipfield.socket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import slipfield.standin.Stub;

@Timeout(60)
class ListenerChannelTest {
    private static final int CLIENTS = 200;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<Socket> sockets = new ArrayList<>();
    private AcceptLoop acceptLoop;
    private ListenerChannel listener;

    @BeforeEach
    void open() throws Exception {
        acceptLoop = AcceptLoop.open();
        listener = (ListenerChannel) new ServerBootstrap().group(acceptLoop.group(), loop).channelFactory(ListenerChannel::new)
                .handler(new ListenerChannel.AcceptFailureHandler()).option(ChannelOption.SO_BACKLOG, 2 * CLIENTS)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ListenerChannel.settingUp(channel);
                        channel.pipeline().addLast(new Echo());
                    }
                }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync().channel();
    }

    private static final class Echo extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf data) {
            ctx.writeAndFlush(data.retain());
        }
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        listener.close().syncUninterruptibly();
        acceptLoop.shutdown();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Blocks the connections' event loop until this latch is released. */
    private CountDownLatch blockLoop() {
        CountDownLatch released = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                assertTrue(released.await(30, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return released;
    }

    private void connectAll() throws IOException {
        for (int i = 0; i < CLIENTS; i++) {
            sockets.add(new Socket(listener.localAddress().getAddress(), listener.localAddress().getPort()));
        }
    }

    private void awaitAnswers() throws IOException {
        for (Socket socket : sockets) {
            socket.getOutputStream().write(1);
            assertEquals(1, socket.getInputStream().read());
        }
    }

    /** Guards against a burst of clients that takes all file descriptors before the limit on connections can close any. */
    @Test
    void connectionsAreAcceptedNoFasterThanTheirLoopSetsThemUp() throws Exception {
        CountDownLatch released = blockLoop();
        connectAll();
        Stub.await("some are accepted", () -> listener.unready() == ListenerChannel.MAX_UNREADY);
        Stub.await("accepting pauses", () -> !listener.config().isAutoRead());
        assertEquals(ListenerChannel.MAX_UNREADY, listener.unready());
        released.countDown();
        awaitAnswers();
        Stub.await("all are set up", () -> listener.unready() == 0);
    }

    /** Guards against connections that wait in the system's queue and are reset by the close. */
    @Test
    void allThatWaitAreAcceptedBeforeTheClose() throws Exception {
        CountDownLatch released = blockLoop();
        connectAll();
        listener.acceptPendingAndClose();
        released.countDown();
        awaitAnswers();
    }
}

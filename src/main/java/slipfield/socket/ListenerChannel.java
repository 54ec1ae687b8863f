package slipfield.socket;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import slipfield.log.FatalErrors;
import slipfield.log.Log;

/**
 * A listening socket that continues after a failed accept and can accept all pending connections before it closes. It must run
 * on an {@link AcceptLoop}: when a connection is aborted before it is accepted (ECONNABORTED), the JDK retries inside the accept
 * call until that error stops, which blocks the thread.
 */
public final class ListenerChannel extends NioServerSocketChannel {
    /**
     * Delay after a failed accept. It is far below the time-outs of clients; a shorter one would spin while file descriptors have
     * run out.
     */
    private static final long RETRY_DELAY_MS = 20;
    /** Attempts to accept the pending connections; after the last one the socket is closed even if some are left. */
    private static final int MAX_TRIES = 50;

    /**
     * Limit on the connections that are accepted and not set up by their event loop yet. Each holds a file descriptor that no
     * limit on connections counts; further ones wait in the system's queue.
     */
    static final int MAX_UNREADY = 64;

    private final AtomicInteger unready = new AtomicInteger();

    /**
     * The connection is being set up by its event loop, on which this is called. It counts as set up once the loop has looked at
     * its sockets again: only then are connections closed that were evicted for it.
     */
    public static void settingUp(Channel connection) {
        if (connection.parent() instanceof ListenerChannel listener) {
            connection.eventLoop().schedule(listener::oneIsReady, 0, TimeUnit.MILLISECONDS);
        }
    }

    private void oneIsReady() {
        if (unready.decrementAndGet() == MAX_UNREADY / 2 && isOpen()) {
            eventLoop().execute(() -> config().setAutoRead(true));
        }
    }

    /** The number of connections that are accepted and not set up yet. */
    int unready() {
        return unready.get();
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        if (unready.get() >= MAX_UNREADY) {
            config().setAutoRead(false);
            return 0;
        }
        return accept(accepted);
    }

    private int accept(List<Object> accepted) throws IOException {
        SocketChannel connection = javaChannel().accept();
        if (connection == null) {
            return 0;
        }
        try {
            accepted.add(new StreamChannel(this, connection));
        } catch (RuntimeException e) {
            connection.close();
            throw new IOException("the channel of an accepted connection could not be created", e);
        }
        unready.incrementAndGet();
        return 1;
    }

    /**
     * Accepts all pending connections and closes the socket, asynchronously on its event loop. The kernel queues connections that
     * are established but not accepted yet; closing the socket at once would reset them, including those that already hold
     * complete requests.
     */
    public void acceptPendingAndClose() {
        eventLoop().execute(() -> acceptPending(1));
    }

    private void acceptPending(int tries) {
        List<Object> pending = new ArrayList<>();
        boolean failed = false;
        try {
            while (accept(pending) > 0) {
                // Repeat until the queue is empty.
            }
        } catch (Exception e) {
            failed = true;
            Log.warn("front.accept_failed", "closing", true, "tries", tries, "cause", e);
        }
        for (Object accepted : pending) {
            pipeline().fireChannelRead(accepted);
        }
        if (failed && tries < MAX_TRIES && isOpen()) {
            eventLoop().schedule(() -> acceptPending(tries + 1), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }

    /**
     * Logs failed accepts and pauses accepting for a short time. It precedes Netty's acceptor in the pipeline, which would stop
     * accepting for a second after each failure.
     */
    @Sharable
    public static final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Netty has closed the listener after any cause but an IOException.
            FatalErrors.check("listener", cause);
            Log.warn("front.accept_failed", "closing", false, "cause", cause);
            Channel listener = ctx.channel();
            if (!(listener instanceof ServerChannel) || !(cause instanceof IOException)) {
                return;
            }
            listener.config().setAutoRead(false);
            listener.eventLoop().schedule(() -> listener.config().setAutoRead(true), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }
}

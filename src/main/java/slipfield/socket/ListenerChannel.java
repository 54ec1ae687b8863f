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
import slipfield.log.Log;

/**
 * A listening socket that goes on after an accept that failed, and takes up whoever has connected before it closes. It belongs on
 * an event loop of its own: where a connection was aborted before its accept (ECONNABORTED) the JDK tries again inside the call,
 * for as long as that lasts.
 */
public final class ListenerChannel extends NioServerSocketChannel {
    /** Well within what a client waits; less would spin where descriptors have run out. */
    private static final long PAUSE_MS = 20;
    /** How often accepting the rest is tried before the listener closes all the same. */
    private static final int MOST_TRIES = 50;

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel connection = javaChannel().accept();
        if (connection == null) {
            return 0;
        }
        try {
            accepted.add(new StreamChannel(this, connection));
        } catch (RuntimeException e) {
            connection.close();
            throw new IOException("an accepted connection can't be used", e);
        }
        return 1;
    }

    /**
     * Accepts all that wait and closes, on its own loop. Guards against the system's queue of connections that are made and not
     * accepted yet: closing resets them, with requests in them that were written whole.
     */
    public void acceptPendingAndClose() {
        eventLoop().execute(() -> acceptRest(1));
    }

    private void acceptRest(int tries) {
        List<Object> rest = new ArrayList<>();
        boolean failed = false;
        try {
            while (doReadMessages(rest) > 0) {
                // Until none waits.
            }
        } catch (Exception e) {
            failed = true;
            Log.warn("front.accept_failed", "closing", true, "tries", tries, "cause", e);
        }
        for (Object accepted : rest) {
            pipeline().fireChannelRead(accepted);
        }
        if (failed && tries < MOST_TRIES && isOpen()) {
            eventLoop().schedule(() -> acceptRest(tries + 1), PAUSE_MS, TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }

    /** Stands before Netty's acceptor, which would accept nothing for a second after each failure. */
    @Sharable
    public static final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            Log.warn("front.accept_failed", "closing", false, "cause", cause);
            Channel listener = ctx.channel();
            if (!(listener instanceof ServerChannel) || !(cause instanceof IOException)) {
                return;
            }
            listener.config().setAutoRead(false);
            listener.eventLoop().schedule(() -> listener.config().setAutoRead(true), PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }
}

package slipfield.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;

/** A connection to a sender, with at most one request in flight; it reports the result of each to its listener. */
final class SenderConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final String NOT_HTTP = "a response that is not valid HTTP";

    /** Receives the events of a connection, on the event loop. No event follows {@link #closed}. */
    interface Listener {
        /** The connection is open. */
        void opened(SenderConnection connection);

        /** The response to the request in flight; {@code keepAlive}: the connection can take another request. */
        void responded(SenderConnection connection, FullHttpResponse response, boolean keepAlive);

        /**
         * The connection was closed, or could not be opened.
         *
         * @param written whether the request in flight, if any, was written completely
         */
        void closed(SenderConnection connection, boolean written, String reason);
    }

    final String sender;
    private final Listener listener;
    private Channel channel;
    private boolean awaitingResponse;
    private boolean written;
    private boolean closed;
    /** Number of requests sent by {@link #get} so far. */
    private int requestCount;
    /** Since when the connection has been idle, in ms of the client's clock. */
    long idleSinceMs;

    SenderConnection(String sender, Listener listener) {
        this.sender = sender;
        this.listener = listener;
    }

    Listener listener() {
        return listener;
    }

    /** Connects to the remote address of this bootstrap. */
    void connect(Bootstrap bootstrap) {
        ChannelFuture connecting = bootstrap.connect();
        // Always handled on the event loop: if no socket can be opened, the future completes on another thread of Netty.
        connecting.addListener(done -> bootstrap.config().group().next().execute(() -> connected(connecting)));
    }

    private void connected(ChannelFuture connecting) {
        if (!connecting.isSuccess()) {
            if (!closed) {
                fail("can't connect: " + connecting.cause().getMessage());
            }
        } else if (closed) {
            connecting.channel().close();
        } else {
            channel = connecting.channel();
            channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES), this);
            listener.opened(this);
        }
    }

    /** Whether a request can be sent now. */
    boolean isIdle() {
        return channel != null && channel.isActive() && !awaitingResponse && !closed;
    }

    /** Sends a request; only if {@link #isIdle}. */
    void send(FullHttpRequest request) {
        awaitingResponse = true;
        written = false;
        request.headers().set(HttpHeaderNames.HOST, sender);
        channel.writeAndFlush(request).addListener(f -> written |= f.isSuccess());
    }

    /** Sends a GET request. Without a complete response within {@code timeoutMs} milliseconds the connection is closed. */
    void get(String path, long timeoutMs) {
        send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER));
        int requestNumber = ++requestCount;
        channel.eventLoop().schedule(() -> {
            if (awaitingResponse && requestCount == requestNumber) {
                fail("no response in time to GET " + path);
            }
        }, timeoutMs, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        if (closed) {
            return;
        }
        if (response.decoderResult().isFailure()) {
            fail(NOT_HTTP);
            return;
        }
        if (response.status().code() < 200) {
            return;
        }
        if (!awaitingResponse) {
            fail("a response without a request");
            return;
        }
        awaitingResponse = false;
        boolean keepAlive = HttpUtil.isKeepAlive(response);
        if (!keepAlive) {
            close();
        }
        listener.responded(this, response, keepAlive);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(cause.toString());
    }

    /** Closes the connection and reports it with this reason, unless it is closed already. */
    private void fail(String reason) {
        if (!closed) {
            boolean requestWritten = awaitingResponse && written;
            close();
            listener.closed(this, requestWritten, reason);
        }
    }

    /** Closes the connection without a further event to the listener. */
    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }
}

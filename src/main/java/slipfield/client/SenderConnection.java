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

/** One connection to a sender, with one request at a time; it tells its owner what becomes of each. */
final class SenderConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final String NOT_HTTP = "an answer that can't be read";

    /** Who is told, on the loop's thread. Once {@link #closed} was told nothing else is. */
    interface Listener {
        /** It stands. */
        void opened(SenderConnection connection);

        /** The answer to the request that was out; {@code keepAlive}: another may follow. */
        void responded(SenderConnection connection, FullHttpResponse response, boolean keepAlive);

        /**
         * It is gone, or never came up.
         *
         * @param written whether the last byte of a request that was out may have been sent
         */
        void closed(SenderConnection connection, boolean written, String reason);
    }

    final String sender;
    private final Listener listener;
    private Channel channel;
    private boolean awaitingResponse;
    private boolean written;
    private boolean closed;
    /** Requests by {@link #get} so far. */
    private int requestCount;
    /** Since when it can take a request. */
    long idleSinceMs;

    SenderConnection(String sender, Listener listener) {
        this.sender = sender;
        this.listener = listener;
    }

    Listener listener() {
        return listener;
    }

    /** Connects by this bootstrap, whose remote address is the sender's. */
    void connect(Bootstrap bootstrap) {
        ChannelFuture connecting = bootstrap.connect();
        // On the loop in any case: where no socket can be opened the future completes on a thread of Netty's own.
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

    /** Whether it can take a request. */
    boolean isIdle() {
        return channel != null && channel.isActive() && !awaitingResponse && !closed;
    }

    void send(FullHttpRequest request) {
        awaitingResponse = true;
        written = false;
        request.headers().set(HttpHeaderNames.HOST, sender);
        channel.writeAndFlush(request).addListener(f -> written |= f.isSuccess());
    }

    /** Asks for a path; the answer must be whole within so many ms, or the link is gone. */
    void get(String path, long timeoutMs) {
        send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER));
        int requestNumber = ++requestCount;
        channel.eventLoop().schedule(() -> {
            if (awaitingResponse && requestCount == requestNumber) {
                fail("no answer to " + path);
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
            fail("an answer to nothing");
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

    private void fail(String reason) {
        if (!closed) {
            boolean requestWritten = awaitingResponse && written;
            close();
            listener.closed(this, requestWritten, reason);
        }
    }

    /** Closes it; its owner is told nothing more. */
    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }
}

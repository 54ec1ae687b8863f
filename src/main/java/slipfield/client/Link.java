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
final class Link extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final int LONGEST_ANSWER = 64 * 1024;
    private static final String NOT_HTTP = "an answer that can't be read";

    /** Who is told, on the loop's thread. Once {@link #gone} was told nothing else is. */
    interface Owner {
        /** It stands. */
        void up(Link link);

        /** The answer to the request that was out; {@code stays}: another may follow. */
        void answered(Link link, FullHttpResponse answer, boolean stays);

        /**
         * It is gone, or never came up.
         *
         * @param written whether the last byte of a request that was out may have been sent
         */
        void gone(Link link, boolean written, String why);
    }

    final String sender;
    private final Owner owner;
    private Channel channel;
    private boolean out;
    private boolean written;
    private boolean over;
    /** Requests by {@link #get} so far. */
    private int gets;
    /** Since when it can take a request. */
    long idleSinceMs;

    Link(String sender, Owner owner) {
        this.sender = sender;
        this.owner = owner;
    }

    Owner owner() {
        return owner;
    }

    /** Connects by this bootstrap, whose remote address is the sender's. */
    void connect(Bootstrap bootstrap) {
        ChannelFuture connecting = bootstrap.connect();
        // On the loop in any case: where no socket can be opened the future completes on a thread of Netty's own.
        connecting.addListener(done -> bootstrap.config().group().next().execute(() -> connected(connecting)));
    }

    private void connected(ChannelFuture connecting) {
        if (!connecting.isSuccess()) {
            if (!over) {
                gone("can't connect: " + connecting.cause().getMessage());
            }
        } else if (over) {
            connecting.channel().close();
        } else {
            channel = connecting.channel();
            channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LONGEST_ANSWER), this);
            owner.up(this);
        }
    }

    /** Whether it can take a request. */
    boolean free() {
        return channel != null && channel.isActive() && !out && !over;
    }

    void ask(FullHttpRequest request) {
        out = true;
        written = false;
        request.headers().set(HttpHeaderNames.HOST, sender);
        channel.writeAndFlush(request).addListener(f -> written |= f.isSuccess());
    }

    /** Asks for a path; the answer must be whole within so many ms, or the link is gone. */
    void get(String path, long mostMs) {
        ask(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER));
        int asked = ++gets;
        channel.eventLoop().schedule(() -> {
            if (out && gets == asked) {
                gone("no answer to " + path);
            }
        }, mostMs, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
        if (over) {
            return;
        }
        if (answer.decoderResult().isFailure()) {
            gone(NOT_HTTP);
            return;
        }
        if (answer.status().code() < 200) {
            return;
        }
        if (!out) {
            gone("an answer to nothing");
            return;
        }
        out = false;
        boolean stays = HttpUtil.isKeepAlive(answer);
        if (!stays) {
            close();
        }
        owner.answered(this, answer, stays);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        gone("the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        gone(cause.toString());
    }

    private void gone(String why) {
        if (!over) {
            boolean mayBeThere = out && written;
            close();
            owner.gone(this, mayBeThere, why);
        }
    }

    /** Closes it; its owner is told nothing more. */
    void close() {
        over = true;
        if (channel != null) {
            channel.close();
        }
    }
}

package slipfield.agent;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import slipfield.config.Config;
import slipfield.log.FatalErrors;
import slipfield.http.HeaderLimits;
import slipfield.log.Log;
import slipfield.socket.Connector;
import slipfield.socket.StreamChannel;

/**
 * HTTP client of the platform's agent, also used for Consul's agents. It uses one persistent connection and sends one request at
 * a time; callers must wait for its end before they send the next one. The agent may stop answering without closing the
 * connection, so each request has a time limit; when it expires, the connection is closed.
 */
public final class AgentClient {
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    /** A parsed list takes some seven times its bytes, so that a small heap needs a lower limit: a share of it, as a divisor. */
    private static final int HEAP_PER_ANSWER = 20;
    private static final int CONNECT_TIMEOUT_MS = 1000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Bootstrap bootstrap;
    private Channel channel;
    private Request current;

    private final class Request {
        private final Consumer<Optional<FullHttpResponse>> callback;
        private Future<?> timer;

        Request(Consumer<Optional<FullHttpResponse>> callback) {
            this.callback = callback;
        }

        /** Cancels the time limit. No timer is set while the connection is being established. */
        private void stopTimer() {
            if (timer != null) {
                timer.cancel(false);
            }
        }

        /** Passes the answer on, unless the request has ended already. */
        void end(Optional<FullHttpResponse> answer) {
            if (current == this) {
                current = null;
                stopTimer();
                callback.accept(answer);
            }
        }
    }

    /** Creates a client that uses plain HTTP. */
    public AgentClient(EventLoop loop, InetSocketAddress address) {
        this(loop, address, channel -> { });
    }

    /**
     * Creates a client with further channel handlers.
     *
     * @param addHandlers adds handlers to a new connection, such as TLS; they precede the HTTP codec
     */
    public AgentClient(EventLoop loop, InetSocketAddress address, Consumer<Channel> addHandlers) {
        this.loop = loop;
        this.address = address;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(StreamChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel newChannel) {
                        addHandlers.accept(newChannel);
                        newChannel.pipeline().addLast(new HttpClientCodec(new HeaderLimits().decoderConfig(),
                                HttpClientCodec.DEFAULT_PARSE_HTTP_AFTER_CONNECT_REQUEST, HttpClientCodec.DEFAULT_FAIL_ON_MISSING_RESPONSE),
                                new HttpObjectAggregator(maxAnswerBytes()), new AnswerHandler());
                    }
                });
    }

    private static int maxAnswerBytes() {
        return (int) Math.min(MAX_ANSWER_BYTES, Runtime.getRuntime().maxMemory() / HEAP_PER_ANSWER);
    }

    /**
     * Sends a request and calls {@code callback} once, unless {@link #close} is called before: with the answer, or with an empty
     * value if none came within the time limit. The limit counts from when the request is written to an established connection,
     * and data that has arrived when it expires is read first. Connecting and sending take several iterations of the event loop;
     * if each iteration is slow and the request were given up between two of them, every repeat would fail in the same way.
     *
     * @param limitMs the time limit in milliseconds
     */
    public void send(FullHttpRequest request, long limitMs, Consumer<Optional<FullHttpResponse>> callback) {
        request.headers().set(HttpHeaderNames.HOST, Config.hostPort(address))
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        Request pending = new Request(callback);
        current = pending;
        if (channel != null && channel.isActive()) {
            write(pending, request, limitMs);
            return;
        }
        Connector.connect(bootstrap, loop, address, new Connector.Listener() {
            @Override
            public void connected(Channel newChannel) {
                if (current == pending) {
                    channel = newChannel;
                    write(pending, request, limitMs);
                } else {
                    request.release();
                    newChannel.close();
                }
            }

            @Override
            public void failed(Throwable cause) {
                Log.warn("agent.connect_failed", "agent", Config.hostPort(address), "cause", cause);
                request.release();
                pending.end(Optional.empty());
            }
        });
    }

    private void write(Request pending, FullHttpRequest request, long limitMs) {
        // The second task runs at once, but only after the event loop has read from its sockets once more.
        pending.timer = loop.schedule(() -> {
            if (current == pending) {
                pending.timer = loop.schedule(() -> timeOut(pending), 0, TimeUnit.MILLISECONDS);
            }
        }, limitMs, TimeUnit.MILLISECONDS);
        channel.writeAndFlush(request);
    }

    private void timeOut(Request request) {
        disconnect();
        request.end(Optional.empty());
    }

    private void disconnect() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    /**
     * Closes the connection and drops the request in progress without calling its callback. Callers use it when they switch to
     * another agent.
     */
    public void close() {
        if (current != null) {
            current.stopTimer();
            current = null;
        }
        disconnect();
    }

    private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (ctx.channel() != channel || current == null || answer.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            if (!HttpUtil.isKeepAlive(answer)) {
                channel = null;
                ctx.close();
            }
            current.end(Optional.of(answer));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                channel = null;
                if (current != null) {
                    current.end(Optional.empty());
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrors.check("agent connection", cause);
            ctx.close();
        }
    }
}

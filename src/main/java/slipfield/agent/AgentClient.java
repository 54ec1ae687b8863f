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
import slipfield.log.Log;
import slipfield.socket.Connector;
import slipfield.socket.StreamChannel;

/**
 * The platform's agent, over one kept connection that carries one request at a time. It may go silent
 * without a sign, so each request has a time limit, after which its connection is given up.
 */
public final class AgentClient {
    private static final int LONGEST_ANSWER = 4 << 20;
    private static final int CONNECT_MS = 1000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Bootstrap bootstrap;
    private Channel channel;
    private Request current;

    private final class Request {
        private final Consumer<Optional<FullHttpResponse>> then;
        private Future<?> timer;

        Request(Consumer<Optional<FullHttpResponse>> then) {
            this.then = then;
        }

        /** There is none while its connection is not up yet. */
        private void stopTimer() {
            if (timer != null) {
                timer.cancel(false);
            }
        }

        /** Answers once; what comes later is nobody's. */
        void end(Optional<FullHttpResponse> answer) {
            if (current == this) {
                current = null;
                stopTimer();
                then.accept(answer);
            }
        }
    }

    /** Speaks plain HTTP. */
    public AgentClient(EventLoop loop, InetSocketAddress address) {
        this(loop, address, channel -> { });
    }

    /** {@code secured} puts in front of the codec what a connection needs, such as TLS. */
    public AgentClient(EventLoop loop, InetSocketAddress address, Consumer<Channel> secured) {
        this.loop = loop;
        this.address = address;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(StreamChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        secured.accept(fresh);
                        fresh.pipeline().addLast(new HttpClientCodec(),
                                new HttpObjectAggregator(LONGEST_ANSWER), new Answers());
                    }
                });
    }

    /**
     * Sends a request; exactly one answer follows, empty if none came within the limit, which counts from when
     * the request goes out on an open connection. When it has passed, what has come by then is read first.
     * Guards against a loop that is behind: where each of its rounds takes long, connecting and asking take
     * several, and giving up between two of them would begin it all again, for ever.
     */
    public void send(FullHttpRequest request, long limitMs, Consumer<Optional<FullHttpResponse>> then) {
        request.headers().set(HttpHeaderNames.HOST, Config.hostPort(address))
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        Request mine = new Request(then);
        current = mine;
        if (channel != null && channel.isActive()) {
            write(mine, request, limitMs);
            return;
        }
        Connector.connect(bootstrap, loop, address, new Connector.Listener() {
            @Override
            public void connected(Channel fresh) {
                if (current == mine) {
                    channel = fresh;
                    write(mine, request, limitMs);
                } else {
                    request.release();
                    fresh.close();
                }
            }

            @Override
            public void failed(Throwable cause) {
                Log.warn("agent.connect_failed", "agent", Config.hostPort(address), "cause", cause);
                request.release();
                mine.end(Optional.empty());
            }
        });
    }

    private void write(Request mine, FullHttpRequest request, long limitMs) {
        // The second step is due at once, but after one more look at what the sockets have.
        mine.timer = loop.schedule(() -> {
            if (current == mine) {
                mine.timer = loop.schedule(() -> fail(mine), 0, TimeUnit.MILLISECONDS);
            }
        }, limitMs, TimeUnit.MILLISECONDS);
        channel.writeAndFlush(request);
    }

    private void fail(Request request) {
        disconnect();
        request.end(Optional.empty());
    }

    private void disconnect() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    /** Gives up what is out, without an answer: its asker has turned to another agent. */
    public void close() {
        if (current != null) {
            current.stopTimer();
            current = null;
        }
        disconnect();
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
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
            ctx.close();
        }
    }
}

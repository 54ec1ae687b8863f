package kestreldeal.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import kestreldeal.Relay.Outcome;

/**
 * Calls to endpoints and the connections that they go over: one call each, kept for the next, the newest
 * idle one first. Each call gets one end, never during the call of {@link #call} or {@link #cancel}.
 */
final class Endpoints {
    /** Idle connections are dropped at this share of the time after which an endpoint drops them. */
    private static final double IDLE_SHARE = 0.8;
    private static final long SWEEP_MS = 500;

    /** Told of the end of each call; {@code gone}: the message is over, whatever else is true. */
    interface Ends {
        void ended(Call call, Outcome outcome, boolean gone, double waitMs);
    }

    private final EventLoop loop;
    private final Ends ends;
    private final Bootstrap bootstrap;
    private final long idleNanos;
    private final int mostIdle;
    private final Map<Long, Peer> peers = new HashMap<>();
    private int idle;

    Endpoints(EventLoop loop, double dialMs, double keepAliveMs, int mostIdle, Ends ends) {
        this.loop = loop;
        this.ends = ends;
        this.idleNanos = (long) (keepAliveMs * IDLE_SHARE * 1e6);
        this.mostIdle = mostIdle;
        this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(dialMs))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new Connection());
                    }
                });
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** An endpoint is at this address from now on; connections to another one are of no more use. */
    void at(long endpoint, InetSocketAddress address, boolean serving) {
        Peer peer = peers.computeIfAbsent(endpoint, e -> new Peer());
        if (!serving || !address.equals(peer.address)) {
            closeIdle(endpoint);
        }
        peer.address = address;
    }

    /** Starts a call; its end is told once, within the time-out or soon after. */
    Call call(Held held, int attempt, long endpoint, double timeoutMs) {
        Call call = new Call(held, attempt, peers.get(endpoint), timeoutMs);
        call.timer = loop.schedule(call::timedOut, (long) Math.ceil(timeoutMs * 1000), TimeUnit.MICROSECONDS);
        Connection kept = call.peer.newestIdle();
        if (kept != null) {
            call.write(kept);
        } else {
            bootstrap.connect(call.peer.address).addListener((ChannelFuture f) -> call.connected(f));
        }
        return call;
    }

    /** Stops waiting for a call, by closing its connection. */
    void cancel(Call call) {
        call.end(Outcome.CANCELLED);
        call.close();
    }

    void closeIdle(long endpoint) {
        Peer peer = peers.get(endpoint);
        if (peer != null) {
            new ArrayList<>(peer.idle).forEach(Connection::close);
        }
    }

    /** Idle connections that are kept. */
    int kept() {
        return idle;
    }

    /** Closes what an endpoint would soon close itself: a call that crosses its close would be lost. */
    private void sweep() {
        long now = System.nanoTime();
        for (Peer peer : peers.values()) {
            List<Connection> old = peer.idle.stream().filter(c -> now - c.idleSince > idleNanos).toList();
            old.forEach(Connection::close);
        }
    }

    private final class Peer {
        InetSocketAddress address;
        final Deque<Connection> idle = new ArrayDeque<>();

        Connection newestIdle() {
            while (!idle.isEmpty()) {
                Connection newest = idle.removeLast();
                Endpoints.this.idle--;
                if (newest.isOpen() && System.nanoTime() - newest.idleSince <= idleNanos) {
                    return newest;
                }
                newest.close();
            }
            return null;
        }
    }

    /** One attempt on its way. */
    final class Call {
        final Held held;
        final int attempt;
        final long startedNanos = System.nanoTime();
        private final Peer peer;
        private final double timeoutMs;
        private Future<?> timer;
        private Connection connection;
        /** The last byte is out: from here on it may have run. */
        private boolean flushed;
        private boolean done;

        private Call(Held held, int attempt, Peer peer, double timeoutMs) {
            this.held = held;
            this.attempt = attempt;
            this.peer = peer;
            this.timeoutMs = timeoutMs;
        }

        private void connected(ChannelFuture f) {
            if (done) {
                f.channel().close();
            } else if (!f.isSuccess()) {
                end(Outcome.UNREACHABLE);
            } else {
                Connection fresh = f.channel().pipeline().get(Connection.class);
                fresh.peer = peer;
                write(fresh);
            }
        }

        private void write(Connection on) {
            connection = on;
            on.call = this;
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                    "/v1/messages", Unpooled.wrappedBuffer(held.body));
            request.headers()
                    .set(HttpHeaderNames.HOST, hostPort(peer.address))
                    .set("X-Call-Id", held.id)
                    .set("X-Budget-Ms", Math.max(1, (long) timeoutMs))
                    .set(HttpHeaderNames.CONTENT_LENGTH, held.body.length);
            held.key.ifPresent(key -> request.headers().set("Idempotency-Key", key));
            on.channel.writeAndFlush(request).addListener(f -> {
                flushed |= f.isSuccess();
                if (!f.isSuccess()) {
                    lost();
                    close();
                }
            });
        }

        private void timedOut() {
            end(flushed ? Outcome.TIMED_OUT : Outcome.UNREACHABLE);
            close();
        }

        /** The connection is gone: whether it may have run hangs on the last byte. */
        private void lost() {
            end(flushed ? Outcome.BROKEN : Outcome.UNREACHABLE);
        }

        /** A connection that has gone on to another call is left alone. */
        private void close() {
            if (connection != null && connection.call == this) {
                connection.close();
            }
        }

        private void end(Outcome outcome) {
            timer.cancel(false);
            end(outcome, false, 0);
        }

        private void end(Outcome outcome, boolean gone, double waitMs) {
            if (done) {
                return;
            }
            done = true;
            // Never at once: an end may be found while the module is being called.
            loop.execute(() -> ends.ended(this, outcome, gone, waitMs));
        }

        /**
         * What an answer's first line and headers say, by the protocol's table. The time-out runs on, lest a
         * body that never ends hold the connection for good.
         */
        private void answered(HttpResponse response) {
            int code = response.status().code();
            Outcome outcome = switch (code) {
                case 200 -> Outcome.DELIVERED;
                case 429 -> Outcome.FULL;
                case 503 -> response.headers().contains("X-No-Slot") ? Outcome.NOT_SENT : Outcome.FULL;
                case 504, 410 -> Outcome.NOT_SENT;
                default -> Outcome.ERROR;
            };
            end(outcome, code == 410, code == 429 ? waitMs(response) : 0);
        }
    }

    /** The told wait, rounded up; an unreadable one counts as none. */
    private static double waitMs(HttpResponse response) {
        try {
            return Math.max(0, Double.parseDouble(response.headers().get(HttpHeaderNames.RETRY_AFTER, "0"))
                    * 1000);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    static String hostPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /** A connection to an endpoint; it carries one call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private Channel channel;
        private Peer peer;
        private Call call;
        private long idleSince;
        private boolean keep;
        private boolean interim;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (call == null || part.decoderResult().isFailure()) {
                // Nothing was asked, or what came is not HTTP: the connection can't be trusted any more.
                ctx.close();
                return;
            }
            if (part instanceof HttpResponse response) {
                interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                if (!interim) {
                    // An answer that overtakes its request leaves the connection in the middle of it.
                    keep = HttpUtil.isKeepAlive(response) && call.flushed;
                    call.answered(response);
                }
            }
            if (part instanceof LastHttpContent && !interim) {
                call.timer.cancel(false);
                call = null;
                if (keep && idle < mostIdle && ctx.channel().isActive()) {
                    idleSince = System.nanoTime();
                    peer.idle.addLast(this);
                    idle++;
                } else {
                    ctx.close();
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (peer != null && peer.idle.remove(this)) {
                idle--;
            }
            if (call != null) {
                call.lost();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        boolean isOpen() {
            return channel.isActive();
        }

        void close() {
            if (peer != null && peer.idle.remove(this)) {
                idle--;
            }
            channel.close();
        }
    }
}

package slipfield.standin;

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
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * A desk with a usual retry habit, to measure a client beside: whatever was not taken is handed in again after a pause until
 * its time is over, whatever its class; a lost connection is made again after the same pause. One connection, one loop.
 */
public final class NaiveDesk implements AutoCloseable {
    /** The pause before a repeat. */
    public enum Habit {
        /** The same each time. */
        FIXED,
        /** Doubled by each, and drawn from nothing up to that: exponential back-off with full jitter. */
        BACKOFF
    }

    private static final long FIXED_MS = 50;
    private static final long MOST_MS = 2000;
    private static final long PATIENCE_MS = 400;

    private final EventLoop loop;
    private final Habit habit;
    private final Bootstrap bootstrap;
    private final Random random;
    private final String name;
    private final Runnable connected;
    private final AtomicLong handIns;
    private final Deque<Order> queue = new ArrayDeque<>();
    private Channel channel;
    private Order out;
    private Future<?> patience;
    private int failures;
    private long calls;
    private boolean closed;

    private static final class Order {
        private final String type;
        private final String key;
        private final long deadlineNanos;
        private final Consumer<Boolean> ended;
        private int tries;

        private Order(String type, String key, long withinMs, Consumer<Boolean> ended) {
            this.type = type;
            this.key = key;
            this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
            this.ended = ended;
        }

        private long leftMs() {
            return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        }
    }

    /**
     * Connects at once.
     *
     * @param connected told of each connection that stands
     * @param handIns counts what it hands in
     */
    public NaiveDesk(EventLoop loop, InetSocketAddress sender, Habit habit, String name, Runnable connected,
            AtomicLong handIns) {
        this.loop = loop;
        this.habit = habit;
        this.name = name;
        this.random = new Random(name.hashCode());
        this.connected = connected;
        this.handIns = handIns;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(NioSocketChannel::new).remoteAddress(sender)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(1 << 16), new Answers());
                    }
                });
        loop.execute(this::connect);
    }

    private void connect() {
        if (closed) {
            return;
        }
        bootstrap.connect().addListener((ChannelFuture f) -> {
            if (closed) {
                f.channel().close();
            } else if (f.isSuccess()) {
                channel = f.channel();
                failures = 0;
                connected.run();
                next();
            } else {
                failures++;
                loop.schedule(this::connect, pause(failures), TimeUnit.MILLISECONDS);
            }
        });
    }

    private long pause(int times) {
        return habit == Habit.FIXED ? FIXED_MS
                : (long) (random.nextDouble() * Math.min(MOST_MS, FIXED_MS << Math.min(10, times)));
    }

    /** Hands an order in until it is taken, or its time is over; {@code ended} hears which. */
    public void submit(String type, String key, long withinMs, Consumer<Boolean> ended) {
        Order order = new Order(type, key, withinMs, ended);
        loop.execute(() -> {
            queue.addLast(order);
            next();
        });
    }

    private void next() {
        while (out == null && channel != null && !queue.isEmpty()) {
            Order order = queue.poll();
            if (order.leftMs() < 1) {
                order.ended.accept(false);
                continue;
            }
            out = order;
            order.tries++;
            handIns.incrementAndGet();
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + order.type,
                    Unpooled.wrappedBuffer(new byte[] {'o'}));
            request.headers().set(HttpHeaderNames.HOST, "sender").set("X-Call-Id", name + "-" + calls++)
                    .set("X-Call-Class", order.type).set("X-Caller", TrialWorld.TENANT)
                    .set("X-Budget-Ms", order.leftMs()).set("X-Envelope", "dest=" + Platform.DESTINATION)
                    .set("Idempotency-Key", order.key).set(HttpHeaderNames.CONTENT_LENGTH, 1);
            channel.writeAndFlush(request);
            patience = loop.schedule(() -> {
                channel.close();
            }, PATIENCE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void over(boolean taken) {
        Order order = out;
        out = null;
        patience.cancel(false);
        if (taken || order.leftMs() < 1) {
            order.ended.accept(taken);
        } else {
            loop.schedule(() -> {
                queue.addLast(order);
                next();
            }, pause(order.tries), TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        loop.execute(() -> {
            closed = true;
            if (channel != null) {
                channel.close();
            }
        });
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (!HttpUtil.isKeepAlive(answer)) {
                ctx.close();
            }
            if (out != null) {
                over(answer.status().code() / 100 == 2);
            }
            next();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            channel = null;
            if (out != null) {
                over(false);
            }
            if (!closed) {
                loop.schedule(NaiveDesk.this::connect, pause(0), TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable gone) {
            ctx.close();
        }
    }
}

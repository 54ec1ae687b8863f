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
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in desks: hand in orders at a rate, or each its next one when the last has ended, over kept connections. What
 * they hear goes into the ledger. All on one event loop.
 */
public final class Desks implements AutoCloseable {
    private static final long TICK_MS = 5;
    /** So long a desk waits for the answer to a hand-in. */
    private static final long PATIENCE_MS = 2000;
    private static final long PAUSE_MS = 20;
    /** From SIGTERM on new connections come for so long (PROTOCOL: 0.2 to 0.4 s). */
    private static final long NEW_CONNECTIONS_MS = 300;
    /** A reset that answers what was not read comes within this after the end of the stream, on the loopback. */
    private static final long RESET_SEEN_MS = 200;
    /** Connections that open-loop desks share. */
    private static final int MOST_CONNECTIONS = 64;
    private static final byte[] BODY = "{\"side\":\"buy\",\"symbol\":\"AKL\",\"quantity\":100}"
            .getBytes(StandardCharsets.US_ASCII);

    private static final int WORLD_DIGITS = 8;
    private static final HttpResponseStatus TAKEN = HttpResponseStatus.ACCEPTED;

    private final EventLoop loop;
    private final int number;
    /** What the ids of its orders begin with: of no other world's orders, so that none is ever counted as another's. */
    private final String idPrefix;
    private final InetSocketAddress sender;
    private final Ledger ledger;
    private final long budgetMs;
    private final int destinations;
    private final Bootstrap bootstrap;
    private final Deque<Desk> free = new ArrayDeque<>();
    /** Closed loop: whose next order waits for the end of which. */
    private final Map<String, Desk> waiting = new HashMap<>();
    private final AtomicInteger unanswered = new AtomicInteger();
    private long orders;
    private int connections;
    private double due;
    private long tickedNanos;
    private boolean closedLoop;
    private boolean stopped;
    /** So many connections stand at the least, and are used in turn. */
    private int leastConnections;
    /** Until when open connections are used one by one, as their sender is to end; 0: it is not. */
    private long endsNanos;
    private long endsSinceNanos;

    /** Desks of a sender at this address, by a number that stands in their orders' ids; each order may take so long. */
    public Desks(EventLoop loop, int number, InetSocketAddress sender, Ledger ledger, long budgetMs) {
        this(loop, number, sender, ledger, budgetMs, 1);
    }

    /** The same for so many destinations in turn, from {@link Platform#DESTINATION} on. */
    public Desks(EventLoop loop, int number, InetSocketAddress sender, Ledger ledger, long budgetMs, int destinations) {
        this.destinations = destinations;
        this.loop = loop;
        this.number = number;
        this.idPrefix = "o-" + UUID.randomUUID().toString().substring(0, WORLD_DIGITS) + "-" + number + "-";
        this.sender = sender;
        this.ledger = ledger;
        this.budgetMs = budgetMs;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(NioSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(1 << 16));
                    }
                });
    }

    /** Hands in so many orders a second from now on; what finds no free connection is not handed in late. */
    public void atRate(double perSecond) {
        loop.execute(() -> {
            tickedNanos = System.nanoTime();
            loop.scheduleAtFixedRate(() -> tick(perSecond), 0, TICK_MS, TimeUnit.MILLISECONDS);
        });
    }

    /** From now on so many connections stand at the least, and are used in turn; the sender closes what rests for 2.5 s. */
    public void keepOpen(int least) {
        loop.execute(() -> leastConnections = Math.min(MOST_CONNECTIONS, least));
    }

    private void tick(double perSecond) {
        long now = System.nanoTime();
        due = Math.min(MOST_CONNECTIONS, due + (now - tickedNanos) * perSecond / 1e9);
        tickedNanos = now;
        boolean ending = now < endsNanos;
        if (connections < leastConnections && !ending && !stopped) {
            new Desk().connect();
        }
        while (due >= 1 && !stopped) {
            Desk desk = ending ? null : free.poll();
            if (desk == null) {
                if (ending && now - endsSinceNanos > TimeUnit.MILLISECONDS.toNanos(NEW_CONNECTIONS_MS)) {
                    return;
                }
                if (connections < MOST_CONNECTIONS) {
                    new Desk().connect();
                    continue;
                }
                return;
            }
            due--;
            desk.handIn();
        }
    }

    /** So many desks hand in their next order as soon as the last one has ended. */
    public void oneAfterAnother(int desks) {
        ledger.onEnd(id -> loop.execute(() -> {
            Desk desk = waiting.remove(id);
            if (desk != null) {
                desk.next();
            }
        }));
        loop.execute(() -> {
            closedLoop = true;
            for (int i = 0; i < desks; i++) {
                new Desk().connect();
            }
        });
    }

    /** Hand-ins that wait for their answer. */
    int unanswered() {
        return unanswered.get();
    }

    /** Hands in no more. */
    public void stop() {
        loop.submit(() -> {
            stopped = true;
        }).syncUninterruptibly();
    }

    /**
     * The sender was told to end and has so long: each connection that stands is used once more and once again while it is open, at
     * moments spread over this time, its very end among them. New ones come for a short while only.
     */
    public void senderEnds(long withinMs) {
        loop.execute(() -> {
            endsSinceNanos = System.nanoTime();
            endsNanos = endsSinceNanos + TimeUnit.MILLISECONDS.toNanos(withinMs);
            List<Desk> resting = new ArrayList<>(free);
            free.clear();
            for (int i = 0; i < resting.size(); i++) {
                Desk desk = resting.get(i);
                loop.schedule(desk::handIn, withinMs * (i + 1) / resting.size(), TimeUnit.MILLISECONDS);
            }
        });
    }

    /** The sender's machine is lost, with all that it held. */
    public void lost() {
        ledger.excuse(idPrefix);
    }

    @Override
    public void close() {
        stop();
    }

    /** A desk and its connection. */
    private final class Desk {
        private Channel channel;
        private String out;
        private Future<?> patience;

        private void connect() {
            connections++;
            bootstrap.connect(sender).addListener((ChannelFuture f) -> {
                if (f.isSuccess()) {
                    channel = f.channel();
                    channel.pipeline().addLast(new Answers(this));
                    next();
                } else {
                    away();
                }
            });
        }

        /** The sender is not there, or has closed: a little later on a new connection. */
        private void away() {
            channel = null;
            connections--;
            if (closedLoop && !stopped) {
                loop.schedule(() -> new Desk().connect(), PAUSE_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void next() {
            if (channel == null || !channel.isActive()) {
                return;
            }
            long leftNanos = endsNanos - System.nanoTime();
            if (closedLoop && !stopped) {
                handIn();
            } else if (leftNanos > 0 && !stopped) {
                loop.schedule(this::handIn, ThreadLocalRandom.current().nextLong(leftNanos), TimeUnit.NANOSECONDS);
            } else {
                rest();
            }
        }

        private void rest() {
            if (leastConnections > 0) {
                free.addLast(this);
            } else {
                free.push(this);
            }
        }

        private void handIn() {
            if (channel == null || !channel.isActive() || stopped || out != null) {
                return;
            }
            Ledger.Effect effect = orders % 2 == 0 ? Ledger.Effect.KEYED : Ledger.Effect.ONCE;
            out = idPrefix + orders++;
            ledger.handedIn(out, effect, budgetMs, number);
            String type = effect == Ledger.Effect.KEYED ? TrialWorld.KEYED : TrialWorld.ONCE;
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + type,
                    Unpooled.wrappedBuffer(BODY));
            request.headers().set(HttpHeaderNames.HOST, "sender").set("X-Call-Id", out).set("X-Call-Class", type)
                    .set("X-Caller", TrialWorld.TENANT).set("X-Budget-Ms", budgetMs)
                    .set("X-Envelope", "dest=" + (Platform.DESTINATION + orders / 2 % destinations)).set("Idempotency-Key", "key-" + out)
                    .set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
            unanswered.incrementAndGet();
            channel.writeAndFlush(request);
            patience = loop.schedule(() -> {
                channel.close();
            }, PATIENCE_MS, TimeUnit.MILLISECONDS);
        }

        private void answered(FullHttpResponse answer) {
            patience.cancel(false);
            String id = out;
            out = null;
            boolean taken = answer.status().equals(TAKEN);
            if (!HttpUtil.isKeepAlive(answer)) {
                channel.close();
            }
            if (taken && closedLoop && !stopped) {
                // Before the ledger hears of it: its end may come from another thread at once.
                waiting.put(id, this);
            }
            ledger.heard(id, taken);
            unanswered.decrementAndGet();
            if (taken && closedLoop) {
                if (ledger.hasEnded(id) && waiting.remove(id) != null) {
                    next();
                }
                return;
            }
            if (taken) {
                next();
            } else {
                loop.schedule(this::next, PAUSE_MS, TimeUnit.MILLISECONDS);
            }
        }

        /** The sender has ended the stream: what it had not read by then it answers by a reset. */
        private void streamEnded() {
            String asked = out;
            Channel ended = channel;
            if (asked == null) {
                ended.close();
                return;
            }
            loop.schedule(() -> {
                if (asked.equals(out)) {
                    // Fails where a reset has come. Past the codec, which writes HTTP only.
                    ended.pipeline().firstContext().writeAndFlush(Unpooled.wrappedBuffer(new byte[1])).addListener(written -> {
                        if (written.isSuccess()) {
                            ledger.unanswered(asked, number);
                        }
                        ended.close();
                    });
                }
            }, RESET_SEEN_MS, TimeUnit.MILLISECONDS);
        }

        private void gone() {
            if (out != null) {
                out = null;
                unanswered.decrementAndGet();
            }
            if (patience != null) {
                patience.cancel(false);
            }
            free.remove(this);
            waiting.values().remove(this);
            away();
        }
    }

    private static final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Desk desk;

        Answers(Desk desk) {
            this.desk = desk;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (desk.out != null) {
                desk.answered(answer);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                desk.streamEnded();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            desk.gone();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable gone) {
            ctx.close();
        }
    }
}

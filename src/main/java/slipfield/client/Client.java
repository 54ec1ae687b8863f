package slipfield.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import slipfield.client.decide.End;
import slipfield.client.decide.OrderTracker;
import slipfield.client.decide.SubmissionReply;

/**
 * Hands orders in at senders. Each submitted order has one end, told once, within its time (and where ends are followed the
 * grace of {@link slipfield.client.decide.Rules}). May be used from any thread; one event loop does all its work.
 */
public final class Client implements AutoCloseable {
    private static final long SWEEP_MS = 250;
    /** A sender that does not say whether it is ready in this time is not. */
    private static final long READY_MS = 1000;
    private static final long CLOSE_S = 5;

    private final ClientSettings settings;
    private final Observer observer;
    private final EventLoopGroup ownGroup;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    /** Monotonic nanoseconds, as {@link System#nanoTime} tells them. */
    private final LongSupplier nanoClock;
    private final long startNanos;
    private final AtomicBoolean closing = new AtomicBoolean();
    private final OrderTracker tracker;
    private final Map<String, Submission> byKey = new ConcurrentHashMap<>();
    private final Follower follower;
    /** What follows is the loop's alone. */
    private final Map<Long, Out> orders = new HashMap<>();
    private final Map<Submission, Long> numbers = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, Deque<Link>> idle = new HashMap<>();
    private final String callPrefix = Order.newKey().substring(0, 16) + "-";
    private long nextNumber;
    private long nextCall;
    private ScheduledFuture<?> timer;
    private long timerMs = Long.MAX_VALUE;
    private boolean closed;

    /** An order that has no end yet, and the link that its hand-in is out on. */
    private static final class Out {
        private final Submission submission;
        private Link link;
        private int attempt;

        private Out(Submission submission) {
            this.submission = submission;
        }
    }

    /** Told of a client's connections, on its loop; a desk may count them. */
    public interface Observer {
        /** One stands, and its sender is ready. */
        default void connected(String sender) {
        }

        /** One was lost, or never came up. */
        default void lost(String sender, String why) {
        }
    }

    /** A client with a thread of its own. */
    public Client(ClientSettings settings) {
        this(settings, System::nanoTime);
    }

    /** The same with a clock of the caller's own. */
    Client(ClientSettings settings, LongSupplier nanoClock) {
        this(settings, new Observer() {
        }, new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("slipfield-client", true),
                NioIoHandler.newFactory()), true, nanoClock);
    }

    /** One of several on the same threads, which it does not end. */
    public Client(ClientSettings settings, EventLoopGroup group, Observer observer) {
        this(settings, observer, group, false, System::nanoTime);
    }

    private Client(ClientSettings settings, Observer observer, EventLoopGroup group, boolean own, LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        this.startNanos = nanoClock.getAsLong();
        this.settings = settings;
        this.observer = observer;
        this.ownGroup = own ? group : null;
        this.loop = group.next();
        this.bootstrap = new Bootstrap().group(loop).channelFactory(NioSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectMs())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // A link adds its handlers once it stands.
                    }
                });
        this.tracker = new OrderTracker(settings.rules(), new SplittableRandom(settings.seed()), 0, new Doing());
        this.follower = settings.rules().follows() ? new Follower(settings.name(), loop, this::connectTo, this::told) : null;
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        settings.senders().start(list -> loop.execute(() -> listed(list)));
    }

    private long now() {
        return TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong() - startNanos);
    }

    /**
     * Takes an order over. One whose key is that of an order without an end is that order: the same submission is returned.
     * Never blocks, and never throws for what senders do.
     */
    public Submission submit(Order order) {
        Submission fresh = new Submission(order, this::cancel);
        Submission before = byKey.putIfAbsent(order.key(), fresh);
        if (before != null) {
            return before;
        }
        try {
            loop.execute(() -> {
                long number = nextNumber++;
                orders.put(number, new Out(fresh));
                numbers.put(fresh, number);
                tracker.submit(now(), number, settings.rule(order.messageClass()), Long.toString(order.destination()),
                        order.tenant(), order.within().toMillis());
                rearm();
            });
        } catch (RejectedExecutionException e) {
            byKey.remove(order.key(), fresh);
            fresh.ended(new End.Failed(false, "the client is closed"));
        }
        return fresh;
    }

    private CompletableFuture<Boolean> cancel(Submission submission) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        try {
            loop.execute(() -> {
                Long number = numbers.get(submission);
                done.complete(number != null && tracker.cancel(now(), number));
                rearm();
            });
        } catch (RejectedExecutionException e) {
            done.complete(false);
        }
        return done;
    }

    private void listed(List<InetSocketAddress> list) {
        List<String> names = new ArrayList<>();
        for (InetSocketAddress address : list) {
            String name = address.getAddress().getHostAddress() + ":" + address.getPort();
            addresses.put(name, address);
            names.add(name);
        }
        tracker.updateSenders(now(), names);
        rearm();
    }

    private void connectTo(Link link) {
        link.connect(bootstrap.clone().remoteAddress(addresses.get(link.sender)));
    }

    /** The end of a hand-in, as a sender tells it. */
    private void told(long number, int attempt, End end) {
        tracker.onFinalAnswer(now(), number, attempt, end);
        rearm();
    }

    /** One timer, for the next thing that falls due. */
    private void rearm() {
        long next = tracker.nextTickMs();
        if (timer != null && next >= timerMs && !timer.isDone()) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        timerMs = next;
        if (next != Long.MAX_VALUE && !closed) {
            timer = loop.schedule(() -> {
                timerMs = Long.MAX_VALUE;
                timer = null;
                tracker.tick(now());
                rearm();
            }, Math.max(1, next - now()), TimeUnit.MILLISECONDS);
        }
    }

    /** Connections that stood long are closed before the sender does: a hand-in that crosses its close may have run. */
    private void sweep() {
        long now = now();
        idle.forEach((sender, links) -> {
            while (!links.isEmpty() && now - links.peekLast().idleSinceMs >= settings.keepMs()) {
                links.removeLast().close();
                tracker.onConnectionRetired(now, sender);
            }
        });
        rearm();
    }

    private void free(Link link) {
        link.idleSinceMs = now();
        idle.computeIfAbsent(link.sender, s -> new ArrayDeque<>()).addFirst(link);
    }

    /** What the tracker decides is done here. */
    private final class Doing implements OrderTracker.Actions {
        @Override
        public void send(long number, int attempt, String sender, long budgetMs, OrderTracker.PreviousSubmission again) {
            Out out = orders.get(number);
            Link link = idle.getOrDefault(sender, new ArrayDeque<>()).pollFirst();
            out.attempt = attempt;
            out.link = link;
            if (link == null || !link.free()) {
                // It closed in this moment; at once, or its owner would take it for one that never came up.
                if (link != null) {
                    link.close();
                }
                out.link = null;
                loop.execute(() -> {
                    tracker.onReply(now(), number, attempt, SubmissionReply.unsent("the connection was closed"), false, false);
                    rearm();
                });
                return;
            }
            ((Pool) link.owner()).out = number;
            String call = callPrefix + nextCall++;
            if (follower != null) {
                follower.expect(call, number, attempt);
                follower.up(sender);
            }
            link.ask(request(out.submission.order(), call, budgetMs, again));
        }

        @Override
        public void abandon(long number, int attempt) {
            Out out = orders.get(number);
            if (out != null && out.link != null) {
                out.link.close();
                out.link = null;
            }
        }

        @Override
        public void connect(String sender, boolean probe) {
            connectTo(new Link(sender, new Pool(probe)));
        }

        @Override
        public void complete(long number, End end) {
            Out out = orders.get(number);
            if (out.link == null) {
                orders.remove(number);
            }
            numbers.remove(out.submission);
            byKey.remove(out.submission.order().key(), out.submission);
            if (follower != null) {
                follower.over(number);
            }
            out.submission.ended(end);
        }
    }

    private FullHttpRequest request(Order order, String call, long budgetMs, OrderTracker.PreviousSubmission again) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                "/" + order.messageClass(), Unpooled.wrappedBuffer(order.body()));
        request.headers().set("X-Call-Id", call).set("X-Call-Class", order.messageClass())
                .set("X-Caller", order.tenant()).set("X-Budget-Ms", budgetMs)
                .set("X-Envelope", "dest=" + order.destination()).set("Idempotency-Key", order.key())
                .set(HttpHeaderNames.CONTENT_LENGTH, order.body().length);
        if (again != OrderTracker.PreviousSubmission.NONE) {
            request.headers().set("X-Again", again == OrderTracker.PreviousSubmission.REFUSED ? "1" : "again");
        }
        if (follower != null) {
            request.headers().set(Follower.TO, settings.name());
        }
        return request;
    }

    /** The side of a link that hands orders in. */
    private final class Pool implements Link.Owner {
        private boolean trial;
        private Long out;

        private Pool(boolean trial) {
            this.trial = trial;
        }

        @Override
        public void up(Link link) {
            if (trial) {
                link.get("/healthz", READY_MS);
            } else {
                ready(link);
            }
        }

        private void ready(Link link) {
            free(link);
            observer.connected(link.sender);
            tracker.onConnected(now(), link.sender);
            if (follower != null) {
                follower.up(link.sender);
            }
            rearm();
        }

        @Override
        public void answered(Link link, FullHttpResponse answer, boolean stays) {
            tracker.onReconnectWindow(now(), link.sender, Answers.window(answer));
            if (trial) {
                trial = false;
                if (answer.status().code() == 200 && stays) {
                    ready(link);
                } else {
                    link.close();
                    tracker.onConnectFailed(now(), link.sender);
                    rearm();
                }
                return;
            }
            long number = out;
            out = null;
            Out order = orders.get(number);
            if (stays) {
                free(link);
            }
            SubmissionReply heard = Answers.heard(answer, System.currentTimeMillis());
            settle(number, order, heard, stays, !stays);
        }

        @Override
        public void gone(Link link, boolean written, String why) {
            observer.lost(link.sender, why);
            if (out != null) {
                long number = out;
                out = null;
                settle(number, orders.get(number), written ? SubmissionReply.lost(why) : SubmissionReply.unsent(why),
                        false, false);
            } else if (idle.getOrDefault(link.sender, new ArrayDeque<>()).remove(link)) {
                tracker.onConnectionClosed(now(), link.sender, false);
            } else {
                tracker.onConnectFailed(now(), link.sender);
            }
            rearm();
        }

        private void settle(long number, Out order, SubmissionReply heard, boolean stays, boolean inOrder) {
            order.link = null;
            if (numbers.get(order.submission) == null) {
                // Its end was told before its answer came.
                orders.remove(number);
            }
            tracker.onReply(now(), number, order.attempt, heard, stays, inOrder);
            rearm();
        }
    }

    /** Orders that have no end yet. */
    public int open() {
        return byKey.size();
    }

    /** Ends each order that has no end yet, told with whether it may have run, and lets go of all connections. */
    @Override
    public void close() {
        if (!closing.compareAndSet(false, true)) {
            return;
        }
        settings.senders().close();
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            closed = true;
            tracker.close(now());
            idle.values().forEach(links -> links.forEach(Link::close));
            idle.clear();
            if (follower != null) {
                follower.close();
            }
            if (timer != null) {
                timer.cancel(false);
            }
            done.complete(null);
        });
        done.join();
        if (ownGroup != null) {
            ownGroup.shutdownGracefully(1, CLOSE_S * 1000, TimeUnit.MILLISECONDS);
        }
    }
}

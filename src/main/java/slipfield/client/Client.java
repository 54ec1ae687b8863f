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
 * Submits orders to senders. Each submitted order gets exactly one final answer, within its time limit; if the client follows
 * final answers, within the limit plus {@code graceMs} of {@link slipfield.client.decide.Rules}. Thread-safe; all work is done
 * on one event loop.
 */
public final class Client implements AutoCloseable {
    private static final long IDLE_CHECK_MS = 250;
    /** Timeout of the readiness check; a sender that has not answered by then is not ready. */
    private static final long READY_TIMEOUT_MS = 1000;
    private static final long SHUTDOWN_S = 5;

    private final ClientSettings settings;
    private final Observer observer;
    private final EventLoopGroup ownGroup;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    /** Monotonic time in nanoseconds, such as {@link System#nanoTime}. */
    private final LongSupplier nanoClock;
    private final long startNanos;
    private final AtomicBoolean closing = new AtomicBoolean();
    private final OrderTracker tracker;
    private final Map<String, Submission> byKey = new ConcurrentHashMap<>();
    private final FinalAnswerPoller poller;
    /** Orders without a final answer, by number. This and the following fields are used on the event loop only. */
    private final Map<Long, OpenOrder> orders = new HashMap<>();
    private final Map<Submission, Long> numbers = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, Deque<SenderConnection>> idle = new HashMap<>();
    private final String callPrefix = Order.newKey().substring(0, 16) + "-";
    private long nextNumber;
    private long nextCall;
    private ScheduledFuture<?> timer;
    private long timerMs = Long.MAX_VALUE;
    private boolean closed;

    /** An order and the connection on which its submission is in flight, or null. */
    private static final class OpenOrder {
        private final Submission submission;
        private SenderConnection connection;
        private int attempt;

        private OpenOrder(Submission submission) {
            this.submission = submission;
        }
    }

    /** Receives events of a client's connections, on its event loop, for statistics for example. */
    public interface Observer {
        /** A connection was opened, and its sender is ready. */
        default void connected(String sender) {
        }

        /** A connection was lost, or could not be opened. */
        default void lost(String sender, String why) {
        }
    }

    /** A client with a separate thread. */
    public Client(ClientSettings settings) {
        this(settings, System::nanoTime);
    }

    /** The same with this clock, for tests. */
    Client(ClientSettings settings, LongSupplier nanoClock) {
        this(settings, new Observer() {
        }, new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("slipfield-client", true),
                NioIoHandler.newFactory()), true, nanoClock);
    }

    /** A client on the threads of this group, which may be shared; closing the client does not shut the group down. */
    public Client(ClientSettings settings, EventLoopGroup group, Observer observer) {
        this(settings, observer, group, false, System::nanoTime);
    }

    private Client(ClientSettings settings, Observer observer, EventLoopGroup group, boolean ownsGroup, LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        this.startNanos = nanoClock.getAsLong();
        this.settings = settings;
        this.observer = observer;
        this.ownGroup = ownsGroup ? group : null;
        this.loop = group.next();
        this.bootstrap = new Bootstrap().group(loop).channelFactory(NioSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectMs())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // A connection adds its handlers when it is open.
                    }
                });
        this.tracker = new OrderTracker(settings.rules(), new SplittableRandom(settings.seed()), 0, new TrackerActions());
        this.poller = settings.rules().follows()
                ? new FinalAnswerPoller(settings.name(), loop, this::connectTo, this::onFinalAnswer) : null;
        loop.scheduleWithFixedDelay(this::closeIdleConnections, IDLE_CHECK_MS, IDLE_CHECK_MS, TimeUnit.MILLISECONDS);
        settings.senders().start(list -> loop.execute(() -> updateSenders(list)));
    }

    private long now() {
        return TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong() - startNanos);
    }

    /**
     * Submits an order. If an order with the same key has no final answer yet, its submission is returned instead. Never blocks,
     * and never throws because of a sender.
     */
    public Submission submit(Order order) {
        Submission created = new Submission(order, this::cancel);
        Submission existing = byKey.putIfAbsent(order.key(), created);
        if (existing != null) {
            return existing;
        }
        try {
            loop.execute(() -> {
                long number = nextNumber++;
                orders.put(number, new OpenOrder(created));
                numbers.put(created, number);
                tracker.submit(now(), number, settings.rule(order.messageClass()), Long.toString(order.destination()),
                        order.tenant(), order.within().toMillis());
                rescheduleTimer();
            });
        } catch (RejectedExecutionException e) {
            byKey.remove(order.key(), created);
            created.complete(new End.Failed(false, "the client is closed"));
        }
        return created;
    }

    private CompletableFuture<Boolean> cancel(Submission submission) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        try {
            loop.execute(() -> {
                Long number = numbers.get(submission);
                done.complete(number != null && tracker.cancel(now(), number));
                rescheduleTimer();
            });
        } catch (RejectedExecutionException e) {
            done.complete(false);
        }
        return done;
    }

    private void updateSenders(List<InetSocketAddress> list) {
        List<String> names = new ArrayList<>();
        for (InetSocketAddress address : list) {
            String name = address.getAddress().getHostAddress() + ":" + address.getPort();
            addresses.put(name, address);
            names.add(name);
        }
        tracker.updateSenders(now(), names);
        rescheduleTimer();
    }

    private void connectTo(SenderConnection connection) {
        connection.connect(bootstrap.clone().remoteAddress(addresses.get(connection.sender)));
    }

    /** A sender has reported the final answer of a submission. */
    private void onFinalAnswer(long number, int attempt, End end) {
        tracker.onFinalAnswer(now(), number, attempt, end);
        rescheduleTimer();
    }

    /** Sets the one timer to the next time at which the tracker has something to do. */
    private void rescheduleTimer() {
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
                rescheduleTimer();
            }, Math.max(1, next - now()), TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Closes connections that are idle for long, before the sender does: an order that is submitted while the sender closes the
     * connection may have run.
     */
    private void closeIdleConnections() {
        long now = now();
        idle.forEach((sender, connections) -> {
            while (!connections.isEmpty() && now - connections.peekLast().idleSinceMs >= settings.keepMs()) {
                connections.removeLast().close();
                tracker.onConnectionRetired(now, sender);
            }
        });
        rescheduleTimer();
    }

    private void addIdle(SenderConnection connection) {
        connection.idleSinceMs = now();
        idle.computeIfAbsent(connection.sender, s -> new ArrayDeque<>()).addFirst(connection);
    }

    /** Carries out the decisions of the tracker. */
    private final class TrackerActions implements OrderTracker.Actions {
        @Override
        public void send(long number, int attempt, String sender, long budgetMs, OrderTracker.PreviousSubmission again) {
            OpenOrder open = orders.get(number);
            SenderConnection connection = idle.getOrDefault(sender, new ArrayDeque<>()).pollFirst();
            open.attempt = attempt;
            open.connection = connection;
            if (connection == null || !connection.isIdle()) {
                // The sender has just closed it. It is closed here too, or its listener would report a failed connect. The reply
                // is reported from a separate task, since the tracker must not be called before this method returns.
                if (connection != null) {
                    connection.close();
                }
                open.connection = null;
                loop.execute(() -> {
                    tracker.onReply(now(), number, attempt, SubmissionReply.unsent("the connection was closed"), false, false);
                    rescheduleTimer();
                });
                return;
            }
            ((SubmissionHandler) connection.listener()).inFlight = number;
            String call = callPrefix + nextCall++;
            if (poller != null) {
                poller.expect(call, number, attempt);
                poller.startPolling(sender);
            }
            connection.send(request(open.submission.order(), call, budgetMs, again));
        }

        @Override
        public void abandon(long number, int attempt) {
            OpenOrder open = orders.get(number);
            if (open != null && open.connection != null) {
                open.connection.close();
                open.connection = null;
            }
        }

        @Override
        public void connect(String sender, boolean probe) {
            connectTo(new SenderConnection(sender, new SubmissionHandler(probe)));
        }

        @Override
        public void complete(long number, End end) {
            OpenOrder open = orders.get(number);
            if (open.connection == null) {
                orders.remove(number);
            }
            numbers.remove(open.submission);
            byKey.remove(open.submission.order().key(), open.submission);
            if (poller != null) {
                poller.forget(number);
            }
            open.submission.complete(end);
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
        if (poller != null) {
            request.headers().set(FinalAnswerPoller.CLIENT_HEADER, settings.name());
        }
        return request;
    }

    /** Handles a connection on which orders are submitted. */
    private final class SubmissionHandler implements SenderConnection.Listener {
        /** Whether the sender must still be asked if it is ready. */
        private boolean probe;
        /** The number of the order whose submission is in flight, or null. */
        private Long inFlight;

        private SubmissionHandler(boolean probe) {
            this.probe = probe;
        }

        @Override
        public void opened(SenderConnection connection) {
            if (probe) {
                connection.get("/healthz", READY_TIMEOUT_MS);
            } else {
                ready(connection);
            }
        }

        private void ready(SenderConnection connection) {
            addIdle(connection);
            observer.connected(connection.sender);
            tracker.onConnected(now(), connection.sender);
            if (poller != null) {
                poller.startPolling(connection.sender);
            }
            rescheduleTimer();
        }

        @Override
        public void responded(SenderConnection connection, FullHttpResponse response, boolean keepAlive) {
            tracker.onReconnectWindow(now(), connection.sender, SubmissionReplyParser.reconnectWindowMs(response));
            if (probe) {
                probe = false;
                if (response.status().code() == 200 && keepAlive) {
                    ready(connection);
                } else {
                    connection.close();
                    tracker.onConnectFailed(now(), connection.sender);
                    rescheduleTimer();
                }
                return;
            }
            long number = inFlight;
            inFlight = null;
            OpenOrder order = orders.get(number);
            if (keepAlive) {
                addIdle(connection);
            }
            SubmissionReply reply = SubmissionReplyParser.parse(response, System.currentTimeMillis());
            settle(number, order, reply, keepAlive, !keepAlive);
        }

        @Override
        public void closed(SenderConnection connection, boolean written, String reason) {
            observer.lost(connection.sender, reason);
            if (inFlight != null) {
                long number = inFlight;
                inFlight = null;
                settle(number, orders.get(number), written ? SubmissionReply.lost(reason) : SubmissionReply.unsent(reason),
                        false, false);
            } else if (idle.getOrDefault(connection.sender, new ArrayDeque<>()).remove(connection)) {
                tracker.onConnectionClosed(now(), connection.sender, false);
            } else {
                tracker.onConnectFailed(now(), connection.sender);
            }
            rescheduleTimer();
        }

        private void settle(long number, OpenOrder order, SubmissionReply reply, boolean keepAlive, boolean announced) {
            order.connection = null;
            if (numbers.get(order.submission) == null) {
                // The order got its final answer before the reply came.
                orders.remove(number);
            }
            tracker.onReply(now(), number, order.attempt, reply, keepAlive, announced);
            rescheduleTimer();
        }
    }

    /** The number of orders without a final answer. */
    public int open() {
        return byKey.size();
    }

    /** Ends each order without a final answer with one that says whether it may have run, and closes all connections. */
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
            idle.values().forEach(connections -> connections.forEach(SenderConnection::close));
            idle.clear();
            if (poller != null) {
                poller.close();
            }
            if (timer != null) {
                timer.cancel(false);
            }
            done.complete(null);
        });
        done.join();
        if (ownGroup != null) {
            ownGroup.shutdownGracefully(1, SHUTDOWN_S * 1000, TimeUnit.MILLISECONDS);
        }
    }
}

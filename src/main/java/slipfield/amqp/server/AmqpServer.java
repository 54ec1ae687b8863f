package slipfield.amqp.server;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.PreferHeapByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.ConsumerHandler;
import slipfield.amqp.PublishHandler;
import slipfield.amqp.codec.FrameDecoder;
import slipfield.amqp.codec.FrameEncoder;
import slipfield.amqp.decide.Backpressure;
import slipfield.amqp.decide.Tuning;
import slipfield.config.Config;
import slipfield.log.Log;
import slipfield.log.LoggedTask;
import slipfield.memory.MemoryGuard;
import slipfield.retry.Retry;
import slipfield.socket.AcceptLoop;
import slipfield.socket.AutoReadGate;
import slipfield.socket.ListenerChannel;

/** The AMQP listener and its connections. Runs on the core's event loop unless a method says otherwise. */
public final class AmqpServer {
    /**
     * Frames that are handled in one event-loop iteration, round-robin over the connections. Without this limit the publishes
     * of many connections would delay answers, notices and calls, which are sent before the next iteration.
     */
    private static final int FRAMES_PER_ITERATION = 64;
    private static final long SWEEP_MS = 100;
    /** Every connection is checked once in this number of sweeps; checking 1000 with ten channels each at once takes long. */
    private static final int SWEEPS_PER_ROUND = 5;
    private static final int FLUSH_AFTER = 256;
    /** Limit on the bytes of one read: it also limits the frames that one read adds to those that are not handled yet. */
    private static final int MAX_READ_BYTES = 16 * 1024;
    /** The number of frames that are not handled yet from which on no connection is read; below half of it, all are again. */
    private static final int MAX_UNHANDLED_FRAMES = 16 * 1024;
    private static final int HEAP_PER_INCOMPLETE_FRAMES = 4;
    /** The share of the memory budget for unhandled frames, as a divisor; one read more may come. */
    private static final int BUDGET_PER_UNHANDLED_FRAMES = 4;
    private static final int LOW_WATER = 32 * 1024;
    private static final int HIGH_WATER = 256 * 1024;

    private final EventLoop loop;
    private final AmqpConfig config;
    private final String epoch;
    private final Backpressure backpressure;
    private final MemoryGuard memory;
    private final Tuning tuning;
    private final Authenticator authenticator;
    private final Map<Integer, ServerConnection> connections = new LinkedHashMap<>();
    private final Deque<ServerConnection> pending = new ArrayDeque<>();
    private final List<Channel> listeners = new ArrayList<>();
    private PublishHandler publishHandler;
    private ConsumerHandler consumerHandler;
    private final Deque<ServerConnection> toSweep = new ArrayDeque<>();
    private int connectionsPerSweep;
    /** Null until {@link #listen}. */
    private AcceptLoop acceptLoop;
    private int lastConnection;
    private boolean handlingFrames;
    private int unhandledFrames;
    private long unhandledOctets;
    /** Whether no connection is read because unhandled frames are too many, or take too much memory. */
    private boolean readingPaused;
    private boolean closing;
    private double closingSinceMs;

    /**
     * Creates a server that does not listen yet.
     *
     * @param epoch differs for every process, so that names of channels are never reused after a restart
     * @param memory limits what clients make the sender hold
     */
    public AmqpServer(EventLoop loop, AmqpConfig config, String epoch, MemoryGuard memory) {
        this(loop, config, epoch, memory, Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "amqp-logins");
            thread.setDaemon(true);
            return thread;
        }));
    }

    /** {@code secretChecks}: runs the expensive checks of secrets. */
    AmqpServer(EventLoop loop, AmqpConfig config, String epoch, MemoryGuard memory, Executor secretChecks) {
        this.loop = loop;
        this.memory = memory;
        this.authenticator = new Authenticator(loop, config.users(), secretChecks);
        this.config = config;
        this.epoch = epoch;
        this.backpressure = new Backpressure(config.limits().perConnection(), config.limits().total());
        this.tuning = config.limits().tuning().within(Runtime.getRuntime().maxMemory() / HEAP_PER_INCOMPLETE_FRAMES,
                config.limits().connections());
    }

    /** Sets the handlers of publications and of consumers. */
    public void setHandlers(PublishHandler frontend, ConsumerHandler transport) {
        publishHandler = frontend;
        consumerHandler = transport;
    }

    /** Starts listening and blocks until the sockets are bound. */
    public List<InetSocketAddress> listen() throws IOException {
        acceptLoop = Retry.within(Retry.START_MS, "amqp-accept", AcceptLoop::open);
        List<InetSocketAddress> addresses = new ArrayList<>();
        if (tuning.frameMax() != config.limits().tuning().frameMax()) {
            Log.info("amqp.frames_limited", "octets", tuning.frameMax(), "configured", config.limits().tuning().frameMax(),
                    "connections", config.limits().connections());
        }
        if (config.listen().isPresent()) {
            addresses.add(bind(config.listen().get(), channel -> { }));
        }
        if (config.tls().isPresent()) {
            AmqpConfig.Tls tls = config.tls().get();
            SslContextBuilder builder = SslContextBuilder.forServer(tls.certificate().toFile(), tls.key().toFile());
            tls.clients().ifPresent(clients -> builder.trustManager(clients.toFile()).clientAuth(ClientAuth.OPTIONAL));
            SslContext context = builder.build();
            addresses.add(bind(tls.listen(), channel -> channel.pipeline().addLast(context.newHandler(channel.alloc()))));
        }
        loop.scheduleWithFixedDelay(LoggedTask.of("amqp.sweep", this::sweep), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        return addresses;
    }

    private InetSocketAddress bind(InetSocketAddress address, Consumer<Channel> first) throws IOException {
        ChannelFuture bound = new ServerBootstrap().group(acceptLoop.group(), loop).channelFactory(ListenerChannel::new)
                .handler(new ListenerChannel.AcceptFailureHandler())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Incomplete frames would otherwise take up the memory for direct buffers, which is smaller than the heap.
                .childOption(ChannelOption.ALLOCATOR, new PreferHeapByteBufAllocator(ByteBufAllocator.DEFAULT))
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(64, 2048, MAX_READ_BYTES))
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(LOW_WATER, HIGH_WATER))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ListenerChannel.settingUp(channel);
                        first.accept(channel);
                        accept(channel);
                    }
                }).bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("AMQP can't listen at " + Config.hostPort(address) + ": " + bound.cause().getMessage()
                    + "; set another `listen` in the AMQP file");
        }
        listeners.add(bound.channel());
        bound.channel().closeFuture().addListener(closed -> stopAcceptLoop());
        return (InetSocketAddress) bound.channel().localAddress();
    }

    /** Handles a new connection; closes it at the limit of connections or while the server is closing. */
    void accept(Channel channel) {
        if (closing || connections.size() >= config.limits().connections()) {
            channel.close();
            return;
        }
        FrameDecoder decoder = new FrameDecoder(true);
        FrameEncoder encoder = new FrameEncoder();
        ServerConnection connection = new ServerConnection(this, ++lastConnection, channel, decoder, encoder);
        connections.put(lastConnection, connection);
        channel.pipeline().addLast(new FlushConsolidationHandler(FLUSH_AFTER, true), new AutoReadGate(), decoder, encoder,
                connection);
    }

    /** Closes the listening sockets as the end of the process would; called from any thread but the event loop. */
    public void kill() {
        listeners.stream().filter(Channel::isOpen).forEach(listener -> listener.close().syncUninterruptibly());
    }

    /** Accepts no more connections. Each open one is closed with reply code 320 once it has nothing unsettled. */
    public void close() {
        closing = true;
        closingSinceMs = nowMs();
        listeners.forEach(Channel::close);
        sweep();
    }

    private void stopAcceptLoop() {
        if (listeners.stream().noneMatch(Channel::isOpen)) {
            acceptLoop.shutdown();
        }
    }

    /** The number of connections, including those that are being closed. */
    public int connectionCount() {
        return connections.size();
    }

    /** The connections, for display. */
    public List<ConnectionReport> report() {
        return connections.values().stream().map(ServerConnection::report).toList();
    }

    void connectionClosed(ServerConnection connection) {
        connections.remove(connection.id());
        pending.remove(connection);
        backpressure.connectionClosed(connection.id());
    }

    /** Registers a connection with unhandled frames. */
    void pending(ServerConnection connection) {
        pending.addLast(connection);
        if (!handlingFrames) {
            handlingFrames = true;
            loop.execute(LoggedTask.of("amqp.frames", this::handleFrames));
        }
    }

    /** Counts frames that were received and are not handled yet, and their memory; negative: that were handled. */
    void countUnhandledFrames(int more, long moreOctets) {
        unhandledFrames += more;
        unhandledOctets += moreOctets;
        int divisor = readingPaused ? 2 : 1;
        boolean pause = unhandledFrames >= MAX_UNHANDLED_FRAMES / divisor
                || unhandledOctets >= memory.budget().limitBytes() / BUDGET_PER_UNHANDLED_FRAMES / divisor;
        if (pause != readingPaused) {
            readingPaused = pause;
            List.copyOf(connections.values()).forEach(ServerConnection::updateReading);
        }
    }

    /** The number of frames that were received and are not handled yet. */
    int unhandledFrames() {
        return unhandledFrames;
    }

    /** Whether connections may be read as far as the number of unhandled frames is concerned. */
    boolean mayRead() {
        return !readingPaused;
    }

    private void handleFrames() {
        try {
            for (int i = 0; i < FRAMES_PER_ITERATION && !pending.isEmpty(); i++) {
                ServerConnection first = pending.pollFirst();
                if (first.handleNextFrame()) {
                    pending.addLast(first);
                }
            }
            publishHandler.batchEnded();
        } finally {
            handlingFrames = !pending.isEmpty();
            if (handlingFrames) {
                // Not in this iteration: the sockets are read in between, for the endpoint list and for answers.
                loop.schedule(LoggedTask.of("amqp.frames", this::handleFrames), 0, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void sweep() {
        double now = nowMs();
        if (toSweep.isEmpty()) {
            toSweep.addAll(connections.values());
            connectionsPerSweep = 1 + toSweep.size() / SWEEPS_PER_ROUND;
        }
        for (int i = 0; i < connectionsPerSweep && !toSweep.isEmpty(); i++) {
            toSweep.pollFirst().sweep(now);
        }
        if (closing) {
            boolean unconfirmed = connections.values().stream().anyMatch(ServerConnection::hasUnconfirmed);
            List.copyOf(connections.values()).forEach(c -> c.closeIdle(unconfirmed, now - closingSinceMs));
        }
    }

    /** Resumes paused connections whose load, or the total load, has dropped enough. */
    void resumePaused() {
        for (int id : backpressure.paused()) {
            ServerConnection connection = connections.get(id);
            if (connection != null) {
                connection.updateReading();
            }
        }
    }

    /** The budget of memory for what clients send, and its enforcement. */
    MemoryGuard memory() {
        return memory;
    }

    /** The parameters that are offered to clients. */
    Tuning tuning() {
        return tuning;
    }

    Authenticator authenticator() {
        return authenticator;
    }

    double nowMs() {
        return System.nanoTime() / 1e6;
    }

    AmqpConfig config() {
        return config;
    }

    String epoch() {
        return epoch;
    }

    Backpressure backpressure() {
        return backpressure;
    }

    PublishHandler publishHandler() {
        return publishHandler;
    }

    ConsumerHandler consumerHandler() {
        return consumerHandler;
    }

    EventLoop loop() {
        return loop;
    }
}

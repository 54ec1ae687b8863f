package slipfield.amqp.server;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
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
import slipfield.config.Config;
import slipfield.log.LoggedTask;
import slipfield.retry.Retry;
import slipfield.socket.AcceptLoop;
import slipfield.socket.Listener;

/** The listener and its connections, on the core's loop. */
public final class AmqpServer {
    /**
     * Frames that are looked at in one turn, one of each connection in turn. Guards against a crowd whose publishes would
     * hold up what is due: the turn's ends, notices and calls go out before the next ones are looked at.
     */
    private static final int TAKEN_IN_TURN = 64;
    private static final long SWEEP_MS = 100;
    /** All connections are looked after once in so many sweeps: a thousand with ten channels each are work. */
    private static final int SWEEP_IN = 5;
    private static final int FLUSH_AFTER = 256;
    private static final int LOW_WATER = 32 * 1024;
    private static final int HIGH_WATER = 256 * 1024;

    private final EventLoop loop;
    private final AmqpConfig config;
    private final String epoch;
    private final Backpressure pressure;
    private final Authenticator logins;
    private final Map<Integer, ServerConnection> connections = new LinkedHashMap<>();
    private final Deque<ServerConnection> pending = new ArrayDeque<>();
    private final List<Channel> listeners = new ArrayList<>();
    private PublishHandler publishing;
    private ConsumerHandler consuming;
    private final Deque<ServerConnection> toSweep = new ArrayDeque<>();
    private int sweepAtOnce;
    /** Absent until it listens. */
    private AcceptLoop acceptLoop;
    private int lastConnection;
    private boolean taking;
    private boolean closing;
    private double closingSince;

    /** {@code epoch}: another in each life of the sender. */
    public AmqpServer(EventLoop loop, AmqpConfig config, String epoch) {
        this(loop, config, epoch, Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "amqp-logins");
            thread.setDaemon(true);
            return thread;
        }));
    }

    /** Secrets are checked there. */
    AmqpServer(EventLoop loop, AmqpConfig config, String epoch, Executor checks) {
        this.loop = loop;
        this.logins = new Authenticator(loop, config.users(), checks);
        this.config = config;
        this.epoch = epoch;
        this.pressure = new Backpressure(config.limits().each(), config.limits().all());
    }

    /** Who takes what is published, and who has messages for consumers. */
    public void setHandlers(PublishHandler front, ConsumerHandler transport) {
        publishing = front;
        consuming = transport;
    }

    /** Begins to listen, and waits until it does. */
    public List<InetSocketAddress> listen() throws IOException {
        acceptLoop = Retry.within(Retry.START_MS, "amqp-accept", AcceptLoop::open);
        List<InetSocketAddress> addresses = new ArrayList<>();
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
        ChannelFuture bound = new ServerBootstrap().group(acceptLoop.group(), loop).channelFactory(Listener::new).handler(new Listener.AcceptFailures())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(LOW_WATER, HIGH_WATER))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        first.accept(channel);
                        accept(channel);
                    }
                }).bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("AMQP can't listen at " + Config.hostPort(address) + ": " + bound.cause().getMessage()
                    + "; set another `listen` in the file of AMQP");
        }
        listeners.add(bound.channel());
        bound.channel().closeFuture().addListener(closed -> endAccepting());
        return (InetSocketAddress) bound.channel().localAddress();
    }

    /** A connection has come. */
    void accept(Channel channel) {
        if (closing || connections.size() >= config.limits().connections()) {
            channel.close();
            return;
        }
        FrameDecoder decoder = new FrameDecoder(true);
        FrameEncoder encoder = new FrameEncoder();
        ServerConnection connection = new ServerConnection(this, ++lastConnection, channel, decoder, encoder);
        connections.put(lastConnection, connection);
        channel.pipeline().addLast(new FlushConsolidationHandler(FLUSH_AFTER, true), decoder, encoder, connection);
    }

    /** Lets go of its listeners, as the end of the process would; from any thread but the event loop. */
    public void kill() {
        listeners.stream().filter(Channel::isOpen).forEach(listener -> listener.close().syncUninterruptibly());
    }

    /** Takes no new connection; each that stands is closed with reply code 320 once nothing of it is out. */
    public void close() {
        closing = true;
        closingSince = nowMs();
        listeners.forEach(Channel::close);
        sweep();
    }

    private void endAccepting() {
        if (listeners.stream().noneMatch(Channel::isOpen)) {
            acceptLoop.end();
        }
    }

    /** Connections with something out, and those that are being closed. */
    public int connectionCount() {
        return connections.size();
    }

    /** What stands, for people. */
    public List<ConnectionReport> report() {
        return connections.values().stream().map(ServerConnection::report).toList();
    }

    void gone(ServerConnection connection) {
        connections.remove(connection.id());
        pending.remove(connection);
        pressure.connectionClosed(connection.id());
    }

    /** A connection has frames that were not looked at yet. */
    void pending(ServerConnection connection) {
        pending.addLast(connection);
        if (!taking) {
            taking = true;
            loop.execute(this::takeSome);
        }
    }

    private void takeSome() {
        for (int i = 0; i < TAKEN_IN_TURN && !pending.isEmpty(); i++) {
            ServerConnection first = pending.pollFirst();
            if (first.takeOne()) {
                pending.addLast(first);
            }
        }
        publishing.batchEnded();
        taking = !pending.isEmpty();
        if (taking) {
            // Not at once: the sockets are looked at in between, for the list and for answers.
            loop.schedule(this::takeSome, 0, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        double now = nowMs();
        if (toSweep.isEmpty()) {
            toSweep.addAll(connections.values());
            sweepAtOnce = 1 + toSweep.size() / SWEEP_IN;
        }
        for (int i = 0; i < sweepAtOnce && !toSweep.isEmpty(); i++) {
            toSweep.pollFirst().sweep(now);
        }
        if (closing) {
            boolean published = connections.values().stream().anyMatch(ServerConnection::owes);
            List.copyOf(connections.values()).forEach(c -> c.closeIdle(published, now - closingSince));
        }
    }

    /** Loads have changed: some may be read again. */
    void relieved() {
        for (int id : pressure.paused()) {
            ServerConnection connection = connections.get(id);
            if (connection != null) {
                connection.updateReading();
            }
        }
    }

    Authenticator logins() {
        return logins;
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

    Backpressure pressure() {
        return pressure;
    }

    PublishHandler publishing() {
        return publishing;
    }

    ConsumerHandler consuming() {
        return consuming;
    }

    EventLoop loop() {
        return loop;
    }
}

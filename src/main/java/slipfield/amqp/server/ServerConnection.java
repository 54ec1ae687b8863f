package slipfield.amqp.server;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.codec.AmqpError;
import slipfield.amqp.codec.Frame;
import slipfield.amqp.codec.FrameDecoder;
import slipfield.amqp.codec.FrameEncoder;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.ReplyCode;
import slipfield.amqp.decide.HeartbeatMonitor;
import slipfield.amqp.decide.Tuning;
import slipfield.config.Config;
import slipfield.log.FatalErrors;
import slipfield.log.Log;
import slipfield.memory.MemoryBudget;

/** A client connection: handshake, channels and close. Specification 0-9-1, 2.2.4 and class connection. */
final class ServerConnection extends ChannelInboundHandlerAdapter implements MemoryBudget.Holder {
    /** The heap that a connection takes by itself, in octets, and each of its channels and consumers, as measured. */
    private static final long OCTETS_PER_CONNECTION = 4 * 1024;
    private static final long OCTETS_PER_CHANNEL = 768;
    private static final long OCTETS_PER_CONSUMER = 1024;
    /** Limit from connecting until the connection is open. A login that waits for its check may take most of that time. */
    private static final double OPEN_MS = 20_000;
    /** Time from {@code connection.close} until the socket is closed if the peer does not answer. */
    private static final long CLOSE_MS = 2000;
    /** A connection whose peer does not read is closed after this time. */
    private static final double UNWRITABLE_MS = 30_000;
    /** During the shutdown, consumers stay connected this long after the last delivery: more messages may be pending. */
    private static final double SHUTDOWN_QUIET_MS = 500;
    private static final byte[] PROTOCOL = {'A', 'M', 'Q', 'P', 0, 0, 9, 1};

    private final AmqpServer server;
    private final int id;
    private final Channel channel;
    private final FrameDecoder decoder;
    private final FrameEncoder encoder;
    private final Deque<Object> inbox = new ArrayDeque<>();
    private final MemoryBudget.Account account;
    private long inboxOctets;
    private final Map<Integer, ServerChannel> channels = new TreeMap<>();
    private final double connectedMs;
    private State state = State.PROTOCOL;
    private ChannelHandlerContext ctx;
    private AmqpConfig.User user;
    private Tuning tuning;
    private HeartbeatMonitor heartbeats;
    private boolean supportsBlocked;
    private boolean blocked;
    /** The time since which the channel is not writable; 0 if it is writable. */
    private double unwritableSinceMs;
    private double lastUnsettledMs;

    private enum State {
        PROTOCOL, START_OK, LOGIN, TUNE_OK, OPEN, IN_SERVICE, CLOSING, GONE
    }

    ServerConnection(AmqpServer server, int id, Channel channel, FrameDecoder decoder, FrameEncoder encoder) {
        this.server = server;
        this.id = id;
        this.channel = channel;
        this.decoder = decoder;
        this.encoder = encoder;
        this.account = server.memory().budget().open("amqp_clients", this);
        this.connectedMs = server.nowMs();
        this.lastUnsettledMs = connectedMs;
    }

    int id() {
        return id;
    }

    AmqpServer server() {
        return server;
    }

    AmqpConfig.User user() {
        return user;
    }

    boolean writable() {
        return channel.isWritable();
    }

    // ---- incoming frames ----

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object frame) {
        if (heartbeats != null) {
            heartbeats.received(server.nowMs());
        }
        if (state == State.GONE) {
            ReferenceCountUtil.release(body(frame));
            return;
        }
        if (frame instanceof Frame.Heartbeat) {
            return;
        }
        if (state == State.CLOSING) {
            // The socket is read until the peer closes it, so nothing may be queued.
            if (frame instanceof Frame f) {
                handleWhileClosing(f);
            }
            return;
        }
        inbox.addLast(frame);
        countFrame(frame, 1);
        if (inbox.size() == 1) {
            updateReading();
            server.pending(this);
        }
    }

    private void countFrame(Object frame, int sign) {
        long octets = sign * (frame instanceof Frame f ? f.memoryOctets() : Frame.OBJECT_OCTETS);
        inboxOctets += octets;
        server.countUnhandledFrames(sign, octets);
    }

    /** A read was decoded: accounts for what this connection holds. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        updateAccount();
        server.memory().enforce();
        context.fireChannelReadComplete();
    }

    private void updateAccount() {
        long consumers = channels.values().stream().mapToLong(c -> c.deliveries().consumers().size()).sum();
        long fixed = OCTETS_PER_CONNECTION + channels.size() * OCTETS_PER_CHANNEL + consumers * OCTETS_PER_CONSUMER + inboxOctets;
        account.set(fixed, state == State.CLOSING ? 0 : decoder.memoryOctets());
    }

    /** Closes the connection to release its incomplete frame. */
    @Override
    public void reclaim() {
        Log.warn("amqp.connection_cut", "peer", peer(), "cause", "its incomplete frame takes memory that all clients together "
                + "do not have");
        channel.close();
    }

    private static Object body(Object frame) {
        return frame instanceof Frame.OfBody b ? b.octets() : frame;
    }

    /** Handles the oldest frame. Returns whether there are more. */
    boolean handleNextFrame() {
        Object frame = inbox.pollFirst();
        if (frame != null) {
            countFrame(frame, -1);
            try {
                if (frame instanceof AmqpError error) {
                    throw error;
                }
                handle((Frame) frame);
            } catch (AmqpError e) {
                fail(((frame instanceof Frame f) ? f.channel() : 0), e);
            } catch (RuntimeException e) {
                // An unexpected exception closes this connection only; the others must still be served.
                Log.error("amqp.fault", "cause", e);
                fail(0, new AmqpError(ReplyCode.INTERNAL_ERROR, "this is our fault; connect again"));
            }
        }
        if (inbox.isEmpty()) {
            updateReading();
            updateAccount();
        }
        return !inbox.isEmpty();
    }

    private void handle(Frame frame) throws AmqpError {
        if (state == State.CLOSING) {
            handleWhileClosing(frame);
            return;
        }
        if (frame.channel() > 0 && state == State.IN_SERVICE) {
            handleChannelFrame(frame);
        } else if (frame instanceof Frame.OfMethod m && frame.channel() == 0) {
            handleConnectionMethod(m.method());
        } else if (frame instanceof Frame.ProtocolHeader && state == State.PROTOCOL) {
            start();
        } else {
            ReferenceCountUtil.release(body(frame));
            throw new AmqpError(state == State.IN_SERVICE ? ReplyCode.UNEXPECTED_FRAME : ReplyCode.COMMAND_INVALID,
                    frame.channel() == 0 ? "content has a channel of its own, not 0"
                            : "no channel before connection.open");
        }
    }

    private void handleWhileClosing(Frame frame) {
        ReferenceCountUtil.release(body(frame));
        if (frame instanceof Frame.OfMethod m && m.method().id() == MethodId.CONNECTION_CLOSE_OK) {
            channel.close();
        } else if (frame instanceof Frame.OfMethod m && m.method().id() == MethodId.CONNECTION_CLOSE) {
            // Both sides sent connection.close at the same time: each answers.
            send(MethodId.CONNECTION_CLOSE_OK);
        }
    }

    private void handleChannelFrame(Frame frame) throws AmqpError {
        ServerChannel target = channels.get(frame.channel());
        MethodId id = frame instanceof Frame.OfMethod m ? m.method().id() : null;
        if (id == MethodId.CHANNEL_OPEN) {
            if (frame.channel() > tuning.channelMax()) {
                throw new AmqpError(ReplyCode.NOT_ALLOWED, "channel " + frame.channel() + " is over the "
                        + tuning.channelMax() + " that were agreed on", id);
            }
            if (target != null) {
                throw new AmqpError(ReplyCode.CHANNEL_ERROR, "channel " + frame.channel() + " is open already", id);
            }
            if (server.memory().budget().usedBytes() > server.memory().budget().limitBytes()) {
                throw new AmqpError(ReplyCode.RESOURCE_ERROR, "no memory for another channel; try again later", id);
            }
            channels.put(frame.channel(), new ServerChannel(this, frame.channel()));
            send(frame.channel(), MethodId.CHANNEL_OPEN_OK, "");
        } else if (target == null) {
            ReferenceCountUtil.release(body(frame));
            if (id != MethodId.CHANNEL_CLOSE_OK && id != MethodId.CHANNEL_CLOSE) {
                throw new AmqpError(ReplyCode.CHANNEL_ERROR, "channel " + frame.channel() + " is not open; send "
                        + "channel.open first");
            }
        } else {
            target.handle(frame);
        }
    }

    private void start() {
        state = State.START_OK;
        Map<String, Object> capabilities = Map.of("publisher_confirms", true, "basic.nack", true,
                "consumer_cancel_notify", true, "connection.blocked", true, "authentication_failure_close", true,
                "consumer_priorities", true);
        boolean certificates = server.config().tls().flatMap(AmqpConfig.Tls::clients).isPresent();
        send(0, MethodId.CONNECTION_START, 0, 9, Map.of("product", "slipfield", "capabilities", capabilities),
                Credentials.MECHANISMS + (certificates ? " " + Credentials.EXTERNAL : ""), "en_US");
    }

    private void handleConnectionMethod(Method method) throws AmqpError {
        MethodId id = method.id();
        if (id == MethodId.CONNECTION_CLOSE) {
            releaseChannels();
            state = State.CLOSING;
            send(MethodId.CONNECTION_CLOSE_OK).addListener(ChannelFutureListener.CLOSE);
        } else if (id == MethodId.CONNECTION_START_OK && state == State.START_OK) {
            login(method);
        } else if (id == MethodId.CONNECTION_TUNE_OK && state == State.TUNE_OK) {
            acceptTune(method);
        } else if (id == MethodId.CONNECTION_OPEN && state == State.OPEN) {
            String host = method.text("virtual-host");
            if (!server.config().virtualHosts().contains(host)) {
                throw new AmqpError(ReplyCode.NOT_ALLOWED, "no virtual host '" + host + "'; the operator's file has "
                        + server.config().virtualHosts(), id);
            }
            state = State.IN_SERVICE;
            send(0, MethodId.CONNECTION_OPEN_OK, "");
        } else if (state == State.IN_SERVICE && (id == MethodId.CONNECTION_BLOCKED || id == MethodId.CONNECTION_UNBLOCKED)) {
            return;
        } else if (id == MethodId.CONNECTION_UPDATE_SECRET) {
            throw new AmqpError(ReplyCode.NOT_IMPLEMENTED, "secrets do not run out here; connect anew with another", id);
        } else {
            throw new AmqpError(ReplyCode.COMMAND_INVALID, id + " is not for now", id);
        }
    }

    private void login(Method startOk) throws AmqpError {
        Credentials login = Credentials.read(startOk.text("mechanism"), startOk.octets("response"), ctx);
        supportsBlocked = startOk.table("client-properties").get("capabilities") instanceof Map<?, ?> c
                && Boolean.TRUE.equals(c.get("connection.blocked"));
        state = State.LOGIN;
        server.authenticator().login(login, result -> {
            if (state != State.LOGIN) {
                return;
            }
            if (result == Authenticator.Result.ACCEPTED) {
                user = server.config().users().get(login.name());
                state = State.TUNE_OK;
                Tuning offer = server.tuning();
                send(0, MethodId.CONNECTION_TUNE, offer.channelMax(), (long) offer.frameMax(),
                        (int) (offer.heartbeatMs() / 1000));
            } else {
                fail(0, result == Authenticator.Result.REJECTED
                        ? new AmqpError(ReplyCode.ACCESS_REFUSED, "login refused for this name and secret",
                                MethodId.CONNECTION_START_OK)
                        : new AmqpError(ReplyCode.RESOURCE_ERROR, "too many log in at once; connect again in a while",
                                MethodId.CONNECTION_START_OK));
            }
        });
    }

    private void acceptTune(Method tuneOk) throws AmqpError {
        Optional<Tuning> chosen = server.tuning().acceptTuneOk(tuneOk.number("channel-max"),
                tuneOk.number("frame-max"), tuneOk.number("heartbeat"));
        if (chosen.isEmpty()) {
            throw new AmqpError(ReplyCode.NOT_ALLOWED, "tune-ok asks for more than was offered", MethodId.CONNECTION_TUNE_OK);
        }
        tuning = chosen.get();
        decoder.frameMax(tuning.frameMax());
        encoder.frameMax(tuning.frameMax());
        heartbeats = new HeartbeatMonitor(tuning.heartbeatMs(), server.nowMs());
        state = State.OPEN;
    }

    // ---- outgoing frames ----

    ChannelFuture write(Frame frame) {
        if (heartbeats != null) {
            heartbeats.sent(server.nowMs());
        }
        return channel.writeAndFlush(frame);
    }

    void send(int number, MethodId id, Object... arguments) {
        write(new Frame.OfMethod(number, Method.of(id, arguments)));
    }

    private ChannelFuture send(MethodId id) {
        return write(new Frame.OfMethod(0, Method.of(id)));
    }

    /** A soft error closes its channel, a hard one the connection. */
    private void fail(int number, AmqpError e) {
        ServerChannel target = channels.get(number);
        if (!e.code().hard() && target != null) {
            target.fail(e);
            return;
        }
        if (state == State.GONE || state == State.CLOSING) {
            return;
        }
        if (state == State.PROTOCOL) {
            // The peer uses another protocol: it gets the supported protocol header and is disconnected. Specification 4.2.2.
            state = State.CLOSING;
            channel.writeAndFlush(channel.alloc().buffer().writeBytes(PROTOCOL)).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        Log.warn("amqp.connection_failed", "peer", peer(), "cause", e.getMessage());
        close(e.code(), e.getMessage(), e.classId(), e.methodId());
    }

    private void close(ReplyCode code, String text, int classId, int methodId) {
        releaseChannels();
        state = State.CLOSING;
        send(0, MethodId.CONNECTION_CLOSE, code.number(), text, classId, methodId);
        server.loop().schedule(() -> channel.close(), CLOSE_MS, TimeUnit.MILLISECONDS);
    }

    private void releaseChannels() {
        channels.values().forEach(ServerChannel::release);
        channels.clear();
    }

    void removeChannel(int number) {
        channels.remove(number);
    }

    // ---- flow control and timeouts ----

    /**
     * Pauses reading while frames are unhandled, here or too many on all connections, while backpressure applies, or while the
     * peer does not read.
     */
    void updateReading() {
        boolean pause = !server.backpressure().mayRead(id);
        channel.config().setAutoRead(
                inbox.isEmpty() && server.mayRead() && !pause && channel.isWritable() || state == State.CLOSING);
        if (supportsBlocked && state == State.IN_SERVICE && pause != blocked) {
            blocked = pause;
            if (pause) {
                send(0, MethodId.CONNECTION_BLOCKED, "too much is unsettled; publish on when it is confirmed");
            } else {
                send(0, MethodId.CONNECTION_UNBLOCKED);
            }
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        unwritableSinceMs = channel.isWritable() ? 0 : server.nowMs();
        updateReading();
        if (channel.isWritable()) {
            channels.values().forEach(ServerChannel::reportCapacity);
        }
    }

    void sweep(double now) {
        if (state == State.GONE) {
            return;
        }
        if (state.ordinal() < State.IN_SERVICE.ordinal() && now - connectedMs > OPEN_MS
                || unwritableSinceMs > 0 && now - unwritableSinceMs > UNWRITABLE_MS) {
            Log.warn("amqp.connection_cut", "peer", peer(), "cause",
                    unwritableSinceMs > 0 ? "reads nothing" : "not opened in time");
            channel.close();
            return;
        }
        if (heartbeats != null && state == State.IN_SERVICE) {
            switch (heartbeats.due(now, channel.config().isAutoRead())) {
                case SEND_HEARTBEAT -> write(new Frame.Heartbeat());
                case PEER_LOST -> {
                    Log.warn("amqp.connection_cut", "peer", peer(), "cause", "nothing received for two heartbeat intervals");
                    channel.close();
                }
                default -> { }
            }
        }
        List.copyOf(channels.values()).forEach(c -> c.sweep(now));
    }

    /** Whether any of its publications has no final answer yet. */
    boolean hasUnconfirmed() {
        return channels.values().stream().anyMatch(c -> c.unconfirmedCount() > 0);
    }

    /** Closes it during the shutdown once it is idle. {@code unconfirmed}: some connection has publications without answer. */
    void closeIdle(boolean unconfirmed, double closingForMs) {
        int unsettled = channels.values().stream().mapToInt(c -> c.deliveries().count()).sum();
        double now = server.nowMs();
        if (unsettled > 0) {
            lastUnsettledMs = now;
        }
        boolean consumes = channels.values().stream().anyMatch(c -> !c.deliveries().consumers().isEmpty());
        boolean done = !hasUnconfirmed() && unsettled == 0 && (!consumes
                || !unconfirmed && closingForMs > SHUTDOWN_QUIET_MS && now - lastUnsettledMs > SHUTDOWN_QUIET_MS);
        if (done && state == State.IN_SERVICE) {
            close(ReplyCode.CONNECTION_FORCED, "CONNECTION_FORCED - the sender ends; connect again, or to another", 0, 0);
        } else if (done && state != State.CLOSING) {
            channel.close();
        }
    }

    // ---- close and report ----

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        releaseChannels();
        state = State.GONE;
        inbox.forEach(frame -> ReferenceCountUtil.release(body(frame)));
        int unhandled = inbox.size();
        inbox.clear();
        account.close();
        server.connectionClosed(this);
        server.countUnhandledFrames(-unhandled, -inboxOctets);
        server.resumePaused();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        FatalErrors.check("amqp connection", cause);
        if (!(cause instanceof IOException)) {
            Log.warn("amqp.connection_closed", "peer", peer(), "cause", cause);
        }
        context.close();
    }

    private String peer() {
        return channel.remoteAddress() instanceof InetSocketAddress address ? Config.hostPort(address) : "unknown";
    }

    ConnectionReport report() {
        List<ConnectionReport.ChannelReport> each = channels.entrySet().stream().map(c -> new ConnectionReport.ChannelReport(
                c.getKey(), c.getValue().unconfirmedCount(), c.getValue().deliveries().consumers().size(),
                c.getValue().deliveries().count())).toList();
        return new ConnectionReport(peer(), user == null ? "" : user.name(), state.name().toLowerCase(Locale.ROOT),
                !server.backpressure().mayRead(id), !channel.isWritable(), each);
    }

}

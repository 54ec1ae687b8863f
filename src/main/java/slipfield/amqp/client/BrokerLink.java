package slipfield.amqp.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.ContentReader;
import slipfield.amqp.codec.AmqpError;
import slipfield.amqp.codec.Frame;
import slipfield.amqp.codec.FrameDecoder;
import slipfield.amqp.codec.FrameEncoder;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.codec.ReplyCode;
import slipfield.amqp.decide.HeartbeatMonitor;
import slipfield.amqp.decide.RedialBackoff;
import slipfield.amqp.decide.Tuning;
import slipfield.log.FatalErrors;
import slipfield.log.Log;
import slipfield.socket.Connector;
import slipfield.socket.StreamChannel;

/**
 * A connection to a broker with one channel, which is redialled whenever it is lost. If more channels are opened on it, as
 * stand-ins do, the listener gets their methods and contents like those of the first channel.
 */
public final class BrokerLink {
    /** The number of the channel. */
    public static final int CHANNEL = 1;
    private static final int CONNECT_MS = 2000;
    /** Limit from connecting until the channel is open. */
    private static final long OPEN_MS = 10_000;
    private static final double FIRST_REDIAL_MS = 100;
    private static final double MAX_REDIAL_MS = 5000;
    private static final long HEARTBEAT_CHECK_MS = 250;
    private static final int FLUSH_AFTER = 256;

    /** Is notified of events on the link. Called on the event loop's thread. */
    public interface Listener {
        /** The channel is open. */
        void opened();

        /** A method without content was received. */
        void method(Method method);

        /** A method with its whole content was received. */
        void content(Method method, Properties properties, byte[] body);

        /** Everything that was read together was reported; more follows in a later event-loop iteration. */
        default void readComplete() {
        }

        /** The link was lost after it was {@link #opened}. */
        void lost();

        /** The link is writable again. */
        void writable();
    }

    private final EventLoop loop;
    private final AmqpConfig.Broker broker;
    private final Tuning tuning;
    private final int maxBodyOctets;
    private final Listener listener;
    private final RedialBackoff backoff;
    private final Optional<SslContext> tls;
    private Channel channel;
    private boolean open;
    private boolean closed;

    /** A link to this broker, not dialled yet; {@code maxBodyOctets}: the largest content that is accepted. */
    public BrokerLink(EventLoop loop, AmqpConfig.Broker broker, Optional<SslContext> tls, Tuning tuning, int maxBodyOctets,
            Listener listener) {
        this.loop = loop;
        this.broker = broker;
        this.tls = tls;
        this.tuning = tuning;
        this.maxBodyOctets = maxBodyOctets;
        this.listener = listener;
        this.backoff = new RedialBackoff(broker.name().hashCode(), FIRST_REDIAL_MS, MAX_REDIAL_MS);
    }

    /** Connects, and reconnects whenever the link is lost. */
    public void dial() {
        Bootstrap bootstrap = new Bootstrap().group(loop).channelFactory(StreamChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        FrameDecoder decoder = new FrameDecoder(false);
                        FrameEncoder encoder = new FrameEncoder();
                        tls.ifPresent(context -> made.pipeline().addLast(context.newHandler(made.alloc())));
                        made.pipeline().addLast(new FlushConsolidationHandler(FLUSH_AFTER, true), decoder, encoder,
                                new ConnectionHandler(decoder, encoder));
                    }
                });
        Connector.connect(bootstrap, loop, broker.address(), new Connector.Listener() {
            @Override
            public void connected(Channel channel) {
                // ConnectionHandler handles the channel from channelActive on.
            }

            @Override
            public void failed(Throwable cause) {
                redialLater(cause.getMessage());
            }
        });
    }

    private void redialLater(String why) {
        if (!closed) {
            Log.warn("amqp.broker_away", "broker", broker.name(), "cause", why);
            loop.schedule(this::dial, (long) backoff.disconnected(nowMs()), TimeUnit.MILLISECONDS);
        }
    }

    /** Closes the link for good. */
    public void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Whether the channel is open and the connection can take more data. */
    public boolean writable() {
        return open && channel.isWritable();
    }

    /** Sends a method on the channel. */
    public ChannelFuture send(MethodId id, Object... arguments) {
        return send(new Frame.OfMethod(CHANNEL, Method.of(id, arguments)));
    }

    /** Sends a frame, or a method with its content. */
    public ChannelFuture send(Frame frame) {
        return channel.writeAndFlush(frame);
    }

    /** Closes the current connection after a protocol violation by the broker; the link is redialled. */
    void fail(String why) {
        Log.warn("amqp.broker_failed", "broker", broker.name(), "cause", why);
        channel.close();
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** Handles one connection. */
    private final class ConnectionHandler extends ChannelInboundHandlerAdapter {
        private final FrameDecoder decoder;
        private final FrameEncoder encoder;
        private final ContentReader contents = new ContentReader(maxBodyOctets);
        private HeartbeatMonitor heartbeats = new HeartbeatMonitor(0, 0);
        private Future<?> heartbeatTimer;
        private Future<?> openTimeout;
        private String why = "closed by the broker";

        ConnectionHandler(FrameDecoder decoder, FrameEncoder encoder) {
            this.decoder = decoder;
            this.encoder = encoder;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            openTimeout = loop.schedule(() -> ctx.close(), OPEN_MS, TimeUnit.MILLISECONDS);
            ctx.writeAndFlush(new Frame.ProtocolHeader());
        }

        private void sendOnConnection(MethodId id, Object... arguments) {
            channel.writeAndFlush(new Frame.OfMethod(0, Method.of(id, arguments)));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            heartbeats.received(nowMs());
            try {
                if (frame instanceof AmqpError error) {
                    throw error;
                }
                handle((Frame) frame);
            } catch (AmqpError e) {
                why = e.getMessage();
                sendOnConnection(MethodId.CONNECTION_CLOSE, e.code().number(), e.getMessage(), e.classId(), e.methodId());
                ctx.close();
            }
        }

        private void handle(Frame frame) throws AmqpError {
            if (frame instanceof Frame.OfBody b) {
                contentRead(contents.body(b));
            } else if (frame instanceof Frame.OfHeader h) {
                contentRead(contents.header(h));
            } else if (frame instanceof Frame.OfMethod m && m.channel() == 0) {
                handleConnectionMethod(m.method());
            } else if (frame instanceof Frame.OfMethod m) {
                contents.method(m.method());
                if (!m.method().id().hasContent()) {
                    handleChannelMethod(m.method());
                }
            }
        }

        private void contentRead(boolean complete) {
            if (complete) {
                listener.content(contents.method(), contents.properties(), contents.takeBody());
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (open) {
                listener.readComplete();
            }
            ctx.fireChannelReadComplete();
        }

        private void handleConnectionMethod(Method m) throws AmqpError {
            switch (m.id()) {
                case CONNECTION_START -> sendOnConnection(MethodId.CONNECTION_START_OK, Map.of("product", "slipfield",
                        "capabilities", Map.of("publisher_confirms", true, "basic.nack", true, "consumer_cancel_notify", true,
                                "authentication_failure_close", true)), broker.mechanism(), broker.response(), "en_US");
                case CONNECTION_TUNE -> {
                    Tuning agreed = tuning.tuneOkFor(m.number("channel-max"), m.number("frame-max"), m.number("heartbeat"));
                    decoder.frameMax(agreed.frameMax());
                    encoder.frameMax(agreed.frameMax());
                    heartbeats = new HeartbeatMonitor(agreed.heartbeatMs(), nowMs());
                    heartbeatTimer = loop.scheduleWithFixedDelay(this::checkHeartbeat, HEARTBEAT_CHECK_MS, HEARTBEAT_CHECK_MS,
                            TimeUnit.MILLISECONDS);
                    sendOnConnection(MethodId.CONNECTION_TUNE_OK, agreed.channelMax(), (long) agreed.frameMax(),
                            (int) (agreed.heartbeatMs() / 1000));
                    sendOnConnection(MethodId.CONNECTION_OPEN, broker.virtualHost(), "", false);
                }
                case CONNECTION_OPEN_OK -> send(MethodId.CHANNEL_OPEN, "");
                case CONNECTION_CLOSE -> {
                    why = m.text("reply-text");
                    sendOnConnection(MethodId.CONNECTION_CLOSE_OK);
                    channel.close();
                }
                case CONNECTION_BLOCKED, CONNECTION_UNBLOCKED -> { }
                default -> throw new AmqpError(ReplyCode.COMMAND_INVALID, m.id() + " is not for a client", m.id());
            }
        }

        private void handleChannelMethod(Method m) {
            switch (m.id()) {
                case CHANNEL_OPEN_OK -> {
                    if (open) {
                        return;
                    }
                    openTimeout.cancel(false);
                    open = true;
                    backoff.connected(nowMs());
                    listener.opened();
                }
                case CHANNEL_CLOSE -> {
                    why = m.text("reply-text");
                    channel.close();
                }
                default -> listener.method(m);
            }
        }

        private void checkHeartbeat() {
            switch (heartbeats.due(nowMs(), true)) {
                case SEND_HEARTBEAT -> {
                    heartbeats.sent(nowMs());
                    channel.writeAndFlush(new Frame.Heartbeat());
                }
                case PEER_LOST -> {
                    why = "nothing received for two heartbeat intervals";
                    channel.close();
                }
                default -> { }
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (writable()) {
                listener.writable();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (heartbeatTimer != null) {
                heartbeatTimer.cancel(false);
            }
            if (openTimeout != null) {
                openTimeout.cancel(false);
            }
            boolean wasOpen = open;
            open = false;
            if (wasOpen) {
                listener.lost();
            }
            redialLater(why);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrors.check("broker connection", cause);
            why = cause.toString();
            if (!(cause instanceof IOException)) {
                Log.warn("amqp.broker_failed", "broker", broker.name(), "cause", cause);
            }
            ctx.close();
        }
    }
}

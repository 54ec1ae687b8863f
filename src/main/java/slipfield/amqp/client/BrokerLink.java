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
import slipfield.log.Log;
import slipfield.socket.Connector;
import slipfield.socket.StreamChannel;

/**
 * A connection to a broker with one channel, dialled again whenever it is down. Whoever opens more channels on it, as
 * stand-ins do, hears of what comes on them as on the one.
 */
public final class BrokerLink {
    /** The one channel. */
    public static final int CHANNEL = 1;
    private static final int CONNECT_MS = 2000;
    /** From connecting until the channel is open. */
    private static final long OPEN_MS = 10_000;
    private static final double FIRST_PAUSE_MS = 100;
    private static final double LONGEST_PAUSE_MS = 5000;
    private static final long BEAT_MS = 250;
    private static final int FLUSH_AFTER = 256;

    /** Hears of the link. On the loop's thread. */
    public interface Listener {
        /** The channel is open. */
        void opened();

        /** A method came on the channel. */
        void method(Method method);

        /** One with its content. */
        void content(Method method, Properties properties, byte[] body);

        /** What came in one piece has been told; more comes in a later turn of the loop. */
        default void readComplete() {
        }

        /** It is down, after it was {@link #opened}. */
        void lost();

        /** It may be written to again. */
        void writable();
    }

    private final EventLoop loop;
    private final AmqpConfig.Broker broker;
    private final Tuning tuning;
    private final int mostBody;
    private final Listener listener;
    private final RedialBackoff redial;
    private final Optional<SslContext> tls;
    private Channel channel;
    private boolean open;
    private boolean ended;

    /** Will be to this broker; {@code mostBody}: octets of a content at most. */
    public BrokerLink(EventLoop loop, AmqpConfig.Broker broker, Optional<SslContext> tls, Tuning tuning, int mostBody,
            Listener listener) {
        this.loop = loop;
        this.broker = broker;
        this.tls = tls;
        this.tuning = tuning;
        this.mostBody = mostBody;
        this.listener = listener;
        this.redial = new RedialBackoff(broker.name().hashCode(), FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
    }

    /** Connects, and again whenever it is down. */
    public void dial() {
        Bootstrap bootstrap = new Bootstrap().group(loop).channelFactory(StreamChannel::new).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        FrameDecoder decoder = new FrameDecoder(false);
                        FrameEncoder encoder = new FrameEncoder();
                        tls.ifPresent(context -> made.pipeline().addLast(context.newHandler(made.alloc())));
                        made.pipeline().addLast(new FlushConsolidationHandler(FLUSH_AFTER, true), decoder, encoder,
                                new Life(decoder, encoder));
                    }
                });
        Connector.connect(bootstrap, loop, broker.address(), new Connector.Listener() {
            @Override
            public void connected(Channel channel) {
                // Its first handler has taken it over.
            }

            @Override
            public void failed(Throwable cause) {
                again(cause.getMessage());
            }
        });
    }

    private void again(String why) {
        if (!ended) {
            Log.warn("amqp.broker_away", "broker", broker.name(), "cause", why);
            loop.schedule(this::dial, (long) redial.disconnected(nowMs()), TimeUnit.MILLISECONDS);
        }
    }

    /** Closes it for good. */
    public void close() {
        ended = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Whether it stands and takes more at once. */
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

    /** Gives up the connection at hand, since the broker does what it must not; it is dialled again. */
    void fail(String why) {
        Log.warn("amqp.broker_failed", "broker", broker.name(), "cause", why);
        channel.close();
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** One connection. */
    private final class Life extends ChannelInboundHandlerAdapter {
        private final FrameDecoder decoder;
        private final FrameEncoder encoder;
        private final ContentReader contents = new ContentReader(mostBody);
        private HeartbeatMonitor liveness = new HeartbeatMonitor(0, 0);
        private Future<?> beats;
        private Future<?> inTime;
        private String why = "closed by the broker";

        Life(FrameDecoder decoder, FrameEncoder encoder) {
            this.decoder = decoder;
            this.encoder = encoder;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            inTime = loop.schedule(() -> ctx.close(), OPEN_MS, TimeUnit.MILLISECONDS);
            ctx.writeAndFlush(new Frame.ProtocolHeader());
        }

        private void connection(MethodId id, Object... arguments) {
            channel.writeAndFlush(new Frame.OfMethod(0, Method.of(id, arguments)));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            liveness.received(nowMs());
            try {
                if (frame instanceof AmqpError error) {
                    throw error;
                }
                take((Frame) frame);
            } catch (AmqpError e) {
                why = e.getMessage();
                connection(MethodId.CONNECTION_CLOSE, e.code().number(), e.getMessage(), e.classId(), e.methodId());
                ctx.close();
            }
        }

        private void take(Frame frame) throws AmqpError {
            if (frame instanceof Frame.OfBody b) {
                whole(contents.body(b));
            } else if (frame instanceof Frame.OfHeader h) {
                whole(contents.header(h));
            } else if (frame instanceof Frame.OfMethod m && m.channel() == 0) {
                ofConnection(m.method());
            } else if (frame instanceof Frame.OfMethod m) {
                contents.method(m.method());
                if (!m.method().id().hasContent()) {
                    ofChannel(m.method());
                }
            }
        }

        private void whole(boolean whole) {
            if (whole) {
                listener.content(contents.method(), contents.properties(), contents.take());
            }
        }

        /** What came in one piece has been looked at. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (open) {
                listener.readComplete();
            }
            ctx.fireChannelReadComplete();
        }

        private void ofConnection(Method m) throws AmqpError {
            switch (m.id()) {
                case CONNECTION_START -> connection(MethodId.CONNECTION_START_OK, Map.of("product", "slipfield", "capabilities",
                        Map.of("publisher_confirms", true, "basic.nack", true, "consumer_cancel_notify", true,
                                "authentication_failure_close", true)), broker.mechanism(), broker.response(), "en_US");
                case CONNECTION_TUNE -> {
                    Tuning agreed = tuning.tuneOkFor(m.number("channel-max"), m.number("frame-max"), m.number("heartbeat"));
                    decoder.frameMax(agreed.frameMax());
                    encoder.frameMax(agreed.frameMax());
                    liveness = new HeartbeatMonitor(agreed.heartbeatMs(), nowMs());
                    beats = loop.scheduleWithFixedDelay(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
                    connection(MethodId.CONNECTION_TUNE_OK, agreed.channelMax(), (long) agreed.frameMax(),
                            (int) (agreed.heartbeatMs() / 1000));
                    connection(MethodId.CONNECTION_OPEN, broker.virtualHost(), "", false);
                }
                case CONNECTION_OPEN_OK -> send(MethodId.CHANNEL_OPEN, "");
                case CONNECTION_CLOSE -> {
                    why = m.text("reply-text");
                    connection(MethodId.CONNECTION_CLOSE_OK);
                    channel.close();
                }
                case CONNECTION_BLOCKED, CONNECTION_UNBLOCKED -> { }
                default -> throw new AmqpError(ReplyCode.COMMAND_INVALID, m.id() + " is not for a client", m.id());
            }
        }

        private void ofChannel(Method m) {
            switch (m.id()) {
                case CHANNEL_OPEN_OK -> {
                    if (open) {
                        return;
                    }
                    inTime.cancel(false);
                    open = true;
                    redial.connected(nowMs());
                    listener.opened();
                }
                case CHANNEL_CLOSE -> {
                    why = m.text("reply-text");
                    channel.close();
                }
                default -> listener.method(m);
            }
        }

        private void beat() {
            switch (liveness.due(nowMs(), true)) {
                case SEND_HEARTBEAT -> {
                    liveness.sent(nowMs());
                    channel.writeAndFlush(new Frame.Heartbeat());
                }
                case PEER_LOST -> {
                    why = "two heartbeats missed";
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
            if (beats != null) {
                beats.cancel(false);
            }
            if (inTime != null) {
                inTime.cancel(false);
            }
            boolean was = open;
            open = false;
            if (was) {
                listener.lost();
            }
            again(why);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            why = cause.toString();
            if (!(cause instanceof IOException)) {
                Log.warn("amqp.broker_failed", "broker", broker.name(), "cause", cause);
            }
            ctx.close();
        }
    }
}

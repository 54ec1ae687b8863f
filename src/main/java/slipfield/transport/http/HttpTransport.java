package slipfield.transport.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.PreferHeapByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import slipfield.config.Config;
import slipfield.config.Params;
import slipfield.core.Transport;
import slipfield.http.HeaderLimits;
import slipfield.journal.PendingMessage;
import slipfield.log.FatalErrors;
import slipfield.log.Log;
import slipfield.log.LoggedTask;
import slipfield.policy.DeliveryPolicy.AttemptOutcome;
import slipfield.policy.DeliveryPolicy.AttemptTiming;
import slipfield.policy.DeliveryPolicy.LimitReport;
import slipfield.socket.Connector;
import slipfield.socket.StreamChannel;
import slipfield.trace.Trace;

/**
 * Makes attempts over HTTP/1.1 and pools the connections to endpoints. A connection carries one call at a time and is kept for
 * the next one; the connection that became idle last is reused first. The end of each call is reported exactly once, never from
 * within {@link #attempt} or {@link Attempt#cancel}.
 */
public final class HttpTransport implements Transport {
    /** Idle connections are closed after this share of the time after which an endpoint closes them. */
    private static final double IDLE_SHARE = 0.8;
    private static final long SWEEP_MS = 500;
    /** The protocol's limit on the body of an answer. Its content is ignored. */
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** Time limit from the first to the last byte of an answer; an answer that takes longer is treated as invalid. */
    private static final long ANSWER_TIMEOUT_MS = 1000;
    /** Delay before a connection is reused: data that arrives after an answer could be read as the next call's answer. */
    private static final long REUSE_DELAY_MS = 10;

    /** Header names are constants and need no validation; values are validated because some of them come from clients. */
    private static final HttpHeadersFactory HEADERS =
            DefaultHttpHeadersFactory.headersFactory().withNameValidation(false);

    private final EventLoop loop;
    private final AttemptListener listener;
    private final Bootstrap bootstrap;
    private final long idleNanos;
    private final int maxIdle;
    private final Map<Long, Endpoint> endpoints = new HashMap<>();
    private int idleCount;
    /** Null unless the sender is traced. */
    private Trace trace;

    /**
     * Creates a transport without connections.
     *
     * @param connectTimeoutMs the time limit for opening a connection
     * @param keepAliveMs the time after which endpoints close an idle connection
     * @param maxIdle the limit on idle connections, for all endpoints together
     */
    public HttpTransport(EventLoop loop, double connectTimeoutMs, double keepAliveMs, int maxIdle, AttemptListener listener) {
        this.loop = loop;
        this.listener = listener;
        this.idleNanos = (long) (keepAliveMs * IDLE_SHARE * 1e6);
        this.maxIdle = maxIdle;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(StreamChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                // Direct buffers would be allocated and freed by the system for each answer.
                .option(ChannelOption.ALLOCATOR, new PreferHeapByteBufAllocator(ByteBufAllocator.DEFAULT))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(connectTimeoutMs))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        addHandlers(channel);
                    }
                });
    }

    private Connection addHandlers(Channel channel) {
        Connection connection = new Connection(channel);
        channel.pipeline().addLast(new StatusLineReader(connection), connection.decoder, new HttpRequestEncoder(),
                connection);
        return connection;
    }

    /** Starts closing connections that have been idle for too long, at regular intervals. */
    @Override
    public void start() {
        loop.scheduleWithFixedDelay(LoggedTask.of("endpoints.sweep", this::sweep), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Makes a call on an in-memory connection that receives this answer, so that the code on its path is loaded and compiled. */
    public void warmUp(PendingMessage message, byte[] answer) {
        Endpoint target = new Endpoint();
        target.address = InetSocketAddress.createUnresolved("rehearsal", 1);
        Call call = new Call(message, 0, target, 1000, System.nanoTime(), Double.POSITIVE_INFINITY);
        call.timer = loop.schedule(call::timedOut, 1, TimeUnit.SECONDS);
        EmbeddedChannel memory = new EmbeddedChannel();
        Connection connection = addHandlers(memory);
        connection.target = target;
        connection.address = target.address;
        call.write(connection);
        memory.writeInbound(Unpooled.wrappedBuffer(answer));
        memory.finishAndReleaseAll();
    }

    /** Sets the address of an endpoint and closes idle connections to its previous address. */
    @Override
    public void updateEndpoint(long endpoint, SocketAddress at, boolean serving) {
        InetSocketAddress address = (InetSocketAddress) at;
        Endpoint target = endpoints.computeIfAbsent(endpoint, e -> new Endpoint());
        if (!serving || !address.equals(target.address)) {
            closeIdle(endpoint);
        }
        target.address = address;
        target.serving = serving;
    }

    /** Starts no more calls to an endpoint. A call that still waits for its connection ends without being sent. */
    @Override
    public void stop(long endpoint) {
        Endpoint target = endpoints.get(endpoint);
        if (target != null) {
            target.serving = false;
            closeIdle(endpoint);
        }
    }

    /** Removes an endpoint and closes its connections; one with a call in progress is closed after that call. */
    @Override
    public void forget(long endpoint) {
        closeIdle(endpoint);
        Endpoint target = endpoints.remove(endpoint);
        if (target != null) {
            target.address = null;
            target.serving = false;
        }
    }

    /** The number of known endpoints. */
    public int knownEndpoints() {
        return endpoints.size();
    }

    /**
     * Starts a call. Its end is reported once, within the time-out or soon after. The time-out counts from the policy's decision,
     * not from this call: in a long event-loop iteration the two are far apart, and a message whose time-out expires at its
     * deadline would get its final answer and its notice too late.
     */
    @Override
    public Attempt attempt(PendingMessage message, int number, long endpoint, AttemptTiming timing, long decidedNanos) {
        double leftMs = Math.max(0, timing.timeoutMs() - (System.nanoTime() - decidedNanos) / 1e6);
        Call call = new Call(message, number, endpoints.get(endpoint), leftMs, decidedNanos, timing.latestWriteMs());
        call.timer = loop.schedule(call::timeExpired, (long) Math.ceil(leftMs * 1000), TimeUnit.MICROSECONDS);
        Connection connection = call.target.newestIdle();
        if (connection != null) {
            call.write(connection);
        } else {
            connect(call);
        }
        return call;
    }

    private void connect(Call call) {
        InetSocketAddress connectAddress = call.target.address;
        if (trace != null) {
            trace.enter(Trace.Part.CONNECTS);
        }
        Connector.connect(bootstrap, loop, connectAddress, new Connector.Listener() {
            @Override
            public void connected(Channel channel) {
                call.connected(channel, connectAddress);
            }

            @Override
            public void failed(Throwable cause) {
                Log.warn("attempt.connect_failed", "message", call.message.id, "attempt", call.number, "endpoint",
                        Config.hostPort(connectAddress), "cause", cause);
                call.end(AttemptOutcome.UNREACHABLE);
            }
        });
        if (trace != null) {
            trace.leave();
        }
    }

    /** Records the CPU time of connecting and of reading answers from now on. */
    public void setTrace(Trace newTrace) {
        trace = newTrace;
    }

    @Override
    public void closeIdle(long endpoint) {
        Endpoint target = endpoints.get(endpoint);
        if (target != null && !target.idle.isEmpty()) {
            new ArrayList<>(target.idle).forEach(Connection::close);
        }
    }

    /** The number of idle connections. */
    public int idleConnections() {
        return idleCount;
    }

    /** Closes connections that the endpoint would close soon: a call that is sent just as the endpoint closes would be lost. */
    private void sweep() {
        long now = System.nanoTime();
        for (Endpoint target : endpoints.values()) {
            List<Connection> old = target.idle.stream().filter(c -> now - c.idleSince > idleNanos).toList();
            old.forEach(Connection::close);
        }
    }

    private final class Endpoint {
        InetSocketAddress address;
        boolean serving;
        final Deque<Connection> idle = new ArrayDeque<>();

        Connection newestIdle() {
            while (!idle.isEmpty()) {
                Connection newest = idle.removeLast();
                HttpTransport.this.idleCount--;
                if (newest.isOpen() && System.nanoTime() - newest.idleSince <= idleNanos) {
                    return newest;
                }
                newest.close();
            }
            return null;
        }
    }

    /** An attempt in progress. */
    private final class Call implements Attempt {
        private final PendingMessage message;
        private final int number;
        private final long startedNanos = System.nanoTime();
        private final Endpoint target;
        private final double timeoutMs;
        private final long decidedNanos;
        private final double latestWriteMs;
        private Future<?> timer;
        private Connection connection;
        /** Whether the last byte of the request was written; the endpoint may have processed the call from then on. */
        private boolean requestWritten;
        private boolean ended;
        private LimitReport limitReport = LimitReport.NOTHING;
        /** The delay requested in the header of the answer. It applies even if the rest of the answer is invalid or missing. */
        private double requestedDelayMs;

        private Call(PendingMessage message, int number, Endpoint target, double timeoutMs, long decidedNanos,
                double latestWriteMs) {
            this.message = message;
            this.number = number;
            this.target = target;
            this.timeoutMs = timeoutMs;
            this.decidedNanos = decidedNanos;
            this.latestWriteMs = latestWriteMs;
        }

        @Override
        public PendingMessage message() {
            return message;
        }

        @Override
        public int number() {
            return number;
        }

        @Override
        public boolean hasBegun() {
            return connection != null;
        }

        @Override
        public long startedNanos() {
            return startedNanos;
        }

        /**
         * Cancels the call by closing its connection. While the connection is still being opened nothing was sent, so the call
         * certainly did not run.
         */
        @Override
        public void cancel() {
            end(connection == null ? AttemptOutcome.NOT_SENT : AttemptOutcome.CANCELLED);
            close();
        }

        private void connected(Channel channel, InetSocketAddress connectAddress) {
            if (ended) {
                channel.close();
            } else if (!target.serving || !connectAddress.equals(target.address)) {
                // The endpoint list changed while the connection was being opened: the endpoint may get no new calls.
                end(AttemptOutcome.NOT_SENT);
                channel.close();
            } else {
                Connection newConnection = channel.pipeline().get(Connection.class);
                newConnection.target = target;
                newConnection.address = connectAddress;
                if (listener.mayBegin(this)) {
                    write(newConnection);
                } else {
                    // The endpoint has requested a delay in the meantime, or the journal fails. The connection is kept.
                    end(AttemptOutcome.NOT_SENT);
                    newConnection.makeIdle();
                }
            }
        }

        /**
         * Sends the request, unless its latest write time has passed because connecting took long: a repeat must not be sent
         * after the end of its window.
         */
        private void write(Connection on) {
            if ((System.nanoTime() - decidedNanos) / 1e6 > latestWriteMs) {
                end(AttemptOutcome.NOT_SENT);
                on.close();
                return;
            }
            FullHttpRequest request;
            try {
                request = createRequest();
            } catch (IllegalArgumentException e) {
                // A value is not valid in a header. Nothing was sent, and the end of the attempt must still be reported.
                Log.warn("attempt.write_failed", "cause", e);
                end(AttemptOutcome.UNREACHABLE);
                on.close();
                return;
            }
            connection = on;
            on.begin(this);
            on.channel.writeAndFlush(request).addListener(f -> {
                requestWritten |= f.isSuccess();
                if (!f.isSuccess()) {
                    connectionLost();
                    close();
                }
            });
        }

        private FullHttpRequest createRequest() {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                    "/v1/messages", Unpooled.wrappedBuffer(message.body), HEADERS,
                    DefaultHttpHeadersFactory.trailersFactory());
            request.headers()
                    .set(HttpHeaderNames.HOST, Config.hostPort(target.address))
                    .set("X-Call-Id", message.id)
                    .set("X-Budget-Ms", Math.max(1, (long) timeoutMs))
                    .set(HttpHeaderNames.CONTENT_LENGTH, message.body.length);
            message.key.ifPresent(key -> request.headers().set("Idempotency-Key", key));
            return request;
        }

        /**
         * The time-out has expired. An answer may have arrived while the event loop was busy, with a delay that has to be heeded;
         * the second task runs at once, but only after the loop has read from its sockets once more.
         */
        private void timeExpired() {
            timer = loop.schedule(this::timedOut, 0, TimeUnit.MILLISECONDS);
        }

        private void timedOut() {
            end(requestWritten ? AttemptOutcome.TIMED_OUT : AttemptOutcome.UNREACHABLE);
            close();
        }

        /** The connection was lost. The endpoint may have processed the call only if the last byte was written. */
        private void connectionLost() {
            end(requestWritten ? AttemptOutcome.BROKEN : AttemptOutcome.UNREACHABLE);
        }

        /** Closes the connection, unless it carries another call by now. */
        private void close() {
            if (connection != null && connection.call == this) {
                connection.close();
            }
        }

        private void end(AttemptOutcome outcome) {
            timer.cancel(false);
            end(outcome, false, requestedDelayMs);
        }

        private void end(AttemptOutcome outcome, boolean gone, double waitMs) {
            if (ended) {
                return;
            }
            ended = true;
            // Report it in a separate task: this may run within a call from the delivery policy.
            loop.execute(() -> listener.ended(this, outcome, gone, waitMs, limitReport));
        }

        /** The status line has code 200: the message is delivered, whatever follows. */
        private void delivered() {
            end(AttemptOutcome.DELIVERED, false, 0);
        }

        /** The answer is invalid; the endpoint may have processed the call. A delivery that was read before remains valid. */
        private void invalidAnswer() {
            end(AttemptOutcome.BROKEN);
        }

        /** Ends the call by the status of a complete answer, as the protocol defines it. */
        private void answered(HttpResponse response) {
            int code = response.status().code();
            AttemptOutcome outcome = switch (code) {
                case 200 -> AttemptOutcome.DELIVERED;
                case 429 -> AttemptOutcome.FULL;
                case 503 -> response.headers().contains("X-No-Slot") ? AttemptOutcome.NOT_SENT : AttemptOutcome.FULL;
                case 504, 410 -> AttemptOutcome.NOT_SENT;
                default -> AttemptOutcome.ERROR;
            };
            end(outcome, code == 410, requestedDelayMs);
        }
    }

    /** Netty's decoder, which also reports whether data remains after a complete answer. */
    private static final class AnswerDecoder extends HttpResponseDecoder {
        AnswerDecoder(HeaderLimits headers) {
            super(headers.decoderConfig());
        }

        boolean hasMoreData() {
            return actualReadableBytes() > 0;
        }
    }

    /** A connection to an endpoint; it carries one call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> implements StatusLineReader.Answers {
        private final Channel channel;
        private final HeaderLimits headers = new HeaderLimits();
        private final AnswerDecoder decoder = new AnswerDecoder(headers);
        private Endpoint target;
        /** The address that it is connected to; the endpoint may have another one by now. */
        private InetSocketAddress address;
        private Call call;
        /** The header of the answer, once it has been received. */
        private HttpResponse head;
        private boolean statusRead;
        private long bodyBytes;
        /** Whether the first byte of the answer has been received. */
        private boolean answerBegun;
        private Future<?> answerTimer;
        private long idleSince;

        Connection(Channel channel) {
            this.channel = channel;
        }

        private void begin(Call next) {
            call = next;
            head = null;
            statusRead = false;
            bodyBytes = 0;
            answerTimer = null;
            answerBegun = false;
        }

        @Override
        public void readBegins() {
            if (trace != null) {
                trace.enter(Trace.Part.ANSWERS);
            }
            if (call == null) {
                // Data without a request: the state of the connection is unknown, so it is closed.
                close();
            }
        }

        @Override
        public void readEnded() {
            startAnswerTimer();
            if (trace != null) {
                trace.leave();
            }
        }

        /** The first byte of the answer was received; the time limit of the answer applies from now on. */
        @Override
        public void answerBegins() {
            answerBegun = true;
        }

        /** A read was processed. The timer is started only now because most answers are complete after their first read. */
        private void startAnswerTimer() {
            if (call != null && answerBegun && answerTimer == null) {
                answerTimer = loop.schedule(this::invalidAnswer, ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
        }

        /** An interim (1xx) answer has ended. The time limit starts again with the next answer. */
        @Override
        public void interimAnswerEnded() {
            answerBegun = false;
            if (answerTimer != null) {
                answerTimer.cancel(false);
                answerTimer = null;
            }
        }

        @Override
        public boolean awaitsStatusLine() {
            return call != null && !statusRead;
        }

        @Override
        public void statusReceived(int code) {
            statusRead = true;
            if (code == 200) {
                call.delivered();
            }
        }

        /** The answer is invalid or does not end. The connection is closed, and further data is ignored. */
        @Override
        public void invalidAnswer() {
            if (call != null) {
                call.invalidAnswer();
                detachCall();
            }
            close();
        }

        /** Detaches the call from this connection, which keeps nothing of its answer while it is idle. */
        private void detachCall() {
            head = null;
            headers.messageEnded();
            call.timer.cancel(false);
            if (answerTimer != null) {
                answerTimer.cancel(false);
            }
            call = null;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (call == null || part.decoderResult().isFailure()) {
                invalidAnswer();
                return;
            }
            if (part instanceof HttpResponse response) {
                head = response;
                call.limitReport = AnswerFields.limitReport(response);
                call.requestedDelayMs = response.status().code() == 429 ? AnswerFields.requestedDelayMs(response) : 0;
                if (HttpUtil.getContentLength(response, 0L) > MAX_BODY_BYTES) {
                    invalidAnswer();
                    return;
                }
            }
            if (part instanceof HttpContent content) {
                bodyBytes += content.content().readableBytes();
                if (bodyBytes > MAX_BODY_BYTES) {
                    invalidAnswer();
                    return;
                }
            }
            if (part instanceof LastHttpContent && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                call.answered(head);
                // If the answer arrived before the request was written completely, the connection cannot be reused.
                boolean keep = HttpUtil.isKeepAlive(head) && call.requestWritten && !decoder.hasMoreData();
                detachCall();
                if (keep && idleCount < maxIdle && channel.isActive()) {
                    loop.schedule(this::makeIdle, REUSE_DELAY_MS, TimeUnit.MILLISECONDS);
                } else {
                    close();
                }
            }
        }

        /** Makes the connection available for the next call, unless it is closed, the endpoint has moved or too many are idle. */
        private void makeIdle() {
            if (channel.isActive() && idleCount < maxIdle && address.equals(target.address)) {
                idleSince = System.nanoTime();
                target.idle.addLast(this);
                idleCount++;
            } else {
                close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (target != null && target.idle.remove(this)) {
                idleCount--;
            }
            if (call != null) {
                call.connectionLost();
                detachCall();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrors.check("endpoint connection", cause);
            ctx.close();
        }

        boolean isOpen() {
            return channel.isActive();
        }

        void close() {
            if (target != null && target.idle.remove(this)) {
                idleCount--;
            }
            channel.close();
        }
    }
}

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
import slipfield.journal.PendingMessage;
import slipfield.log.Log;
import slipfield.log.LoggedTask;
import slipfield.policy.DeliveryPolicy.AttemptOutcome;
import slipfield.policy.DeliveryPolicy.AttemptTiming;
import slipfield.policy.DeliveryPolicy.LimitReport;
import slipfield.socket.Connector;
import slipfield.socket.StreamChannel;
import slipfield.trace.Trace;

/**
 * Calls to endpoints and the connections that they go over: one call each, kept for the next, the newest
 * idle one first. Each call gets one end, never during the call of {@link #call} or {@link #cancel}.
 */
public final class HttpTransport implements Transport {
    /** Idle connections are dropped at this share of the time after which an endpoint drops them. */
    private static final double IDLE_SHARE = 0.8;
    private static final long SWEEP_MS = 500;
    /** An answer's body means nothing, and the protocol ends it here. */
    private static final int LONGEST_ANSWER = 64 * 1024;
    /** From an answer's first byte to its last: one that takes longer is held to be spoilt. */
    private static final long ANSWER_MS = 1000;
    /** A connection rests for so long before its next call, lest what comes behind an answer be taken for one. */
    private static final long REST_MS = 10;
    private static final String TOLD_RATE = Params.REPORTED_RATE + "=";
    private static final String TOLD_LEFT = Params.REPORTED_REMAINING + "=";
    /** Between the figures of a report. */
    private static final Pattern FIGURES = Pattern.compile("[,\\s]+");
    /** Longest wait that is believed: no message is held for so long. */
    private static final double LONGEST_WAIT_MS = 60_000;

    /** Names are ours; values are checked, since clients wrote some of them. */
    private static final HttpHeadersFactory HEADERS =
            DefaultHttpHeadersFactory.headersFactory().withNameValidation(false);

    private final EventLoop loop;
    private final AttemptListener ends;
    private final Bootstrap bootstrap;
    private final long idleNanos;
    private final int mostIdle;
    private final Map<Long, Peer> peers = new HashMap<>();
    private int idle;
    /** Absent unless the sender is traced. */
    private Trace trace;

    public HttpTransport(EventLoop loop, double dialMs, double keepAliveMs, int mostIdle, AttemptListener ends) {
        this.loop = loop;
        this.ends = ends;
        this.idleNanos = (long) (keepAliveMs * IDLE_SHARE * 1e6);
        this.mostIdle = mostIdle;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(StreamChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                // A buffer outside the heap for each answer would be allocated and freed by the system each time.
                .option(ChannelOption.ALLOCATOR, new PreferHeapByteBufAllocator(ByteBufAllocator.DEFAULT))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(dialMs))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        handle(channel);
                    }
                });
    }

    private Connection handle(Channel channel) {
        Connection connection = new Connection(channel);
        channel.pipeline().addLast(new FirstLine(connection), connection.answers, new HttpRequestEncoder(),
                connection);
        return connection;
    }

    /** Closes idle connections in time, from now on. */
    @Override
    public void start() {
        loop.scheduleWithFixedDelay(LoggedTask.of("endpoints.sweep", this::sweep), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** A call of this message, with this answer, on a connection in memory: all but the socket. */
    public void warmUp(PendingMessage held, byte[] answer) {
        Peer peer = new Peer();
        peer.address = InetSocketAddress.createUnresolved("rehearsal", 1);
        Call call = new Call(held, 0, peer, 1000, System.nanoTime(), Double.POSITIVE_INFINITY);
        call.timer = loop.schedule(call::timedOut, 1, TimeUnit.SECONDS);
        EmbeddedChannel memory = new EmbeddedChannel();
        Connection connection = handle(memory);
        connection.peer = peer;
        connection.address = peer.address;
        call.write(connection);
        memory.writeInbound(Unpooled.wrappedBuffer(answer));
        memory.finishAndReleaseAll();
    }

    /** An endpoint is at this address from now on; connections to another one are of no more use. */
    @Override
    public void updateEndpoint(long endpoint, SocketAddress at, boolean serving) {
        InetSocketAddress address = (InetSocketAddress) at;
        Peer peer = peers.computeIfAbsent(endpoint, e -> new Peer());
        if (!serving || !address.equals(peer.address)) {
            closeIdle(endpoint);
        }
        peer.address = address;
        peer.serving = serving;
    }

    /** Nothing new may go there, be it decided already: a call that waits to be connected is not made. */
    @Override
    public void stop(long endpoint) {
        Peer peer = peers.get(endpoint);
        if (peer != null) {
            peer.serving = false;
            closeIdle(endpoint);
        }
    }

    /** An endpoint has been gone for long: its connections are closed, those of calls out once they end. */
    @Override
    public void forget(long endpoint) {
        closeIdle(endpoint);
        Peer peer = peers.remove(endpoint);
        if (peer != null) {
            peer.address = null;
            peer.serving = false;
        }
    }

    /** Endpoints that are known. */
    public int knownEndpoints() {
        return peers.size();
    }

    /**
     * Starts a call; its end is told once, within the time-out or soon after. That counts from when the module
     * decided: where a turn takes long, a message whose time-out ends with its time would else be ended as late
     * as the call was made, and its notice come too late.
     */
    @Override
    public Attempt attempt(PendingMessage held, int number, long endpoint, AttemptTiming within, long decidedNanos) {
        double leftMs = Math.max(0, within.timeoutMs() - (System.nanoTime() - decidedNanos) / 1e6);
        Call call = new Call(held, number, peers.get(endpoint), leftMs, decidedNanos, within.latestWriteMs());
        call.timer = loop.schedule(call::timedOut, (long) Math.ceil(leftMs * 1000), TimeUnit.MICROSECONDS);
        Connection kept = call.peer.newestIdle();
        if (kept != null) {
            call.write(kept);
        } else {
            connect(call);
        }
        return call;
    }

    private void connect(Call call) {
        InetSocketAddress dialled = call.peer.address;
        if (trace != null) {
            trace.enter(Trace.Part.CONNECTS);
        }
        Connector.connect(bootstrap, loop, dialled, new Connector.Listener() {
            @Override
            public void connected(Channel channel) {
                call.connected(channel, dialled);
            }

            @Override
            public void failed(Throwable cause) {
                Log.warn("attempt.connect_failed", "message", call.held.id, "attempt", call.number, "endpoint",
                        Config.hostPort(dialled), "cause", cause);
                call.end(AttemptOutcome.UNREACHABLE);
            }
        });
        if (trace != null) {
            trace.leave();
        }
    }

    /** Accounts for connecting and for answers from now on. */
    public void setTrace(Trace by) {
        trace = by;
    }

    @Override
    public void closeIdle(long endpoint) {
        Peer peer = peers.get(endpoint);
        if (peer != null && !peer.idle.isEmpty()) {
            new ArrayList<>(peer.idle).forEach(Connection::close);
        }
    }

    /** Idle connections that are kept. */
    public int idleConnections() {
        return idle;
    }

    /** Closes what an endpoint would soon close itself: a call that crosses its close would be lost. */
    private void sweep() {
        long now = System.nanoTime();
        for (Peer peer : peers.values()) {
            List<Connection> old = peer.idle.stream().filter(c -> now - c.idleSince > idleNanos).toList();
            old.forEach(Connection::close);
        }
    }

    private final class Peer {
        InetSocketAddress address;
        boolean serving;
        final Deque<Connection> idle = new ArrayDeque<>();

        Connection newestIdle() {
            while (!idle.isEmpty()) {
                Connection newest = idle.removeLast();
                HttpTransport.this.idle--;
                if (newest.isOpen() && System.nanoTime() - newest.idleSince <= idleNanos) {
                    return newest;
                }
                newest.close();
            }
            return null;
        }
    }

    /** One attempt on its way. */
    private final class Call implements Attempt {
        private final PendingMessage held;
        private final int number;
        private final long startedNanos = System.nanoTime();
        private final Peer peer;
        private final double timeoutMs;
        private final long decidedNanos;
        private final double writtenMs;
        private Future<?> timer;
        private Connection connection;
        /** The last byte is out: from here on it may have run. */
        private boolean flushed;
        private boolean done;
        private LimitReport told = LimitReport.NOTHING;
        /** The wait that its answer's head told: it holds from when it was written, whatever becomes of the rest. */
        private double toldWaitMs;

        private Call(PendingMessage held, int number, Peer peer, double timeoutMs, long decidedNanos, double writtenMs) {
            this.held = held;
            this.number = number;
            this.peer = peer;
            this.timeoutMs = timeoutMs;
            this.decidedNanos = decidedNanos;
            this.writtenMs = writtenMs;
        }

        @Override
        public PendingMessage message() {
            return held;
        }

        @Override
        public int number() {
            return number;
        }

        @Override
        public long startedNanos() {
            return startedNanos;
        }

        /** By closing its connection. What is still being connected has not one byte out: it has surely not run. */
        @Override
        public void cancel() {
            end(connection == null ? AttemptOutcome.NOT_SENT : AttemptOutcome.CANCELLED);
            close();
        }

        private void connected(Channel channel, InetSocketAddress dialled) {
            if (done) {
                channel.close();
            } else if (!peer.serving || !dialled.equals(peer.address)) {
                // Connecting took its time, and the list has changed meanwhile: nothing new may go there.
                end(AttemptOutcome.NOT_SENT);
                channel.close();
            } else {
                Connection fresh = channel.pipeline().get(Connection.class);
                fresh.peer = peer;
                fresh.address = dialled;
                if (ends.mayBegin(this)) {
                    write(fresh);
                } else {
                    // A wait was told meanwhile. The connection is as good as any for the call after it.
                    end(AttemptOutcome.NOT_SENT);
                    fresh.rested();
                }
            }
        }

        /** Connecting may have taken so long that a repeat would come after its window: then it is not made. */
        private void write(Connection on) {
            if ((System.nanoTime() - decidedNanos) / 1e6 > writtenMs) {
                end(AttemptOutcome.NOT_SENT);
                on.close();
                return;
            }
            FullHttpRequest request;
            try {
                request = request();
            } catch (IllegalArgumentException e) {
                // A value that is no header's: no byte of it is out, and the attempt still needs its end.
                Log.warn("attempt.write_failed", "cause", e);
                end(AttemptOutcome.UNREACHABLE);
                on.close();
                return;
            }
            connection = on;
            on.begin(this);
            on.channel.writeAndFlush(request).addListener(f -> {
                flushed |= f.isSuccess();
                if (!f.isSuccess()) {
                    lost();
                    close();
                }
            });
        }

        private FullHttpRequest request() {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                    "/v1/messages", Unpooled.wrappedBuffer(held.body), HEADERS,
                    DefaultHttpHeadersFactory.trailersFactory());
            request.headers()
                    .set(HttpHeaderNames.HOST, Config.hostPort(peer.address))
                    .set("X-Call-Id", held.id)
                    .set("X-Budget-Ms", Math.max(1, (long) timeoutMs))
                    .set(HttpHeaderNames.CONTENT_LENGTH, held.body.length);
            held.key.ifPresent(key -> request.headers().set("Idempotency-Key", key));
            return request;
        }

        private void timedOut() {
            end(flushed ? AttemptOutcome.TIMED_OUT : AttemptOutcome.UNREACHABLE);
            close();
        }

        /** The connection is gone: whether it may have run hangs on the last byte. */
        private void lost() {
            end(flushed ? AttemptOutcome.BROKEN : AttemptOutcome.UNREACHABLE);
        }

        /** A connection that has gone on to another call is left alone. */
        private void close() {
            if (connection != null && connection.call == this) {
                connection.close();
            }
        }

        private void end(AttemptOutcome outcome) {
            timer.cancel(false);
            end(outcome, false, toldWaitMs);
        }

        private void end(AttemptOutcome outcome, boolean gone, double waitMs) {
            if (done) {
                return;
            }
            done = true;
            // Never at once: an end may be found while the module is being called.
            loop.execute(() -> ends.ended(this, outcome, gone, waitMs, told));
        }

        /** The first line said 200: that is true whatever follows. */
        private void delivered() {
            end(AttemptOutcome.DELIVERED, false, 0);
        }

        /** What cannot be read may have run; a delivery that was read before stands. */
        private void spoilt() {
            end(AttemptOutcome.BROKEN);
        }

        /** What a whole answer says, by the protocol's table. */
        private void answered(HttpResponse response) {
            int code = response.status().code();
            AttemptOutcome outcome = switch (code) {
                case 200 -> AttemptOutcome.DELIVERED;
                case 429 -> AttemptOutcome.FULL;
                case 503 -> response.headers().contains("X-No-Slot") ? AttemptOutcome.NOT_SENT : AttemptOutcome.FULL;
                case 504, 410 -> AttemptOutcome.NOT_SENT;
                default -> AttemptOutcome.ERROR;
            };
            end(outcome, code == 410, toldWaitMs);
        }
    }

    /** The told wait; an unreadable one counts as none, and one without end would stop a destination for good. */
    private static double waitMs(HttpResponse response) {
        try {
            double waitMs = Double.parseDouble(response.headers().get(HttpHeaderNames.RETRY_AFTER, "0")) * 1000;
            return waitMs > 0 ? Math.min(waitMs, LONGEST_WAIT_MS) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** What an answer's report, as {@code TEXT x0=0.4, x1=25}, tells of the limit; what can't be read is not told. */
    private static LimitReport told(HttpResponse response) {
        String report = response.headers().get("X-Load-Report");
        if (report == null) {
            return LimitReport.NOTHING;
        }
        double rate = 0;
        double left = -1;
        for (String figure : FIGURES.split(report)) {
            if (figure.startsWith(TOLD_RATE)) {
                rate = figure(figure.substring(TOLD_RATE.length()));
            } else if (figure.startsWith(TOLD_LEFT)) {
                left = figure(figure.substring(TOLD_LEFT.length()));
            }
        }
        return new LimitReport(rate, left);
    }

    private static double figure(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /**
     * Reads the first line of each answer before the codec does. A line with 200 ends the call at once, as
     * nothing behind it can change that; what is no first line ends it too, since a head that never ends
     * would keep it till its time-out. It reads past heads of 1xx answers and leaves all else to the codec.
     */
    private final class FirstLine extends ChannelInboundHandlerAdapter {
        private static final int LONGEST = 4096;
        private static final String START = "HTTP/1.";
        private static final String PLAIN = "HTTP/1.1 ";
        /** HTTP/1.1, a code of three digits, and a reason if any. */
        private static final Pattern STATUS = Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: .*)?");

        private final Connection connection;
        private final StringBuilder line = new StringBuilder();
        private boolean inInterimHead;

        FirstLine(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object read) {
            if (trace != null) {
                trace.enter(Trace.Part.ANSWERS);
            }
            look((ByteBuf) read);
            ctx.fireChannelRead(read);
            connection.answerGoesOn();
            if (trace != null) {
                trace.leave();
            }
        }

        private void look(ByteBuf bytes) {
            if (connection.call == null) {
                // Nobody asked for this: the connection can't be trusted any more.
                connection.close();
            }
            if (connection.awaitsFirstLine() && line.length() == 0 && !inInterimHead && plain(bytes)) {
                return;
            }
            for (int i = bytes.readerIndex(); i < bytes.writerIndex() && connection.awaitsFirstLine(); i++) {
                connection.answerBegins();
                take((char) (bytes.getByte(i) & 0xff));
            }
        }

        /** The common case, a final status in one read, without a copy of the line. */
        private boolean plain(ByteBuf bytes) {
            int at = bytes.readerIndex();
            int end = bytes.indexOf(at, Math.min(bytes.writerIndex(), at + LONGEST), (byte) '\n');
            if (end - at < PLAIN.length() + 4) {
                return false;
            }
            for (int i = 0; i < PLAIN.length(); i++) {
                if (bytes.getByte(at + i) != PLAIN.charAt(i)) {
                    return false;
                }
            }
            int code = 0;
            for (int i = at + PLAIN.length(); i < at + PLAIN.length() + 3; i++) {
                int digit = bytes.getByte(i) - '0';
                if (digit < 0 || digit > 9) {
                    return false;
                }
                code = 10 * code + digit;
            }
            byte behind = bytes.getByte(at + PLAIN.length() + 3);
            if (code < 200 || behind != ' ' && behind != '\r') {
                return false;
            }
            connection.answerBegins();
            connection.firstLine(code);
            return true;
        }

        private void take(char c) {
            if (c != '\n') {
                line.append(c);
                // Noise may come without a line's end.
                boolean noise = !inInterimHead && line.length() <= START.length()
                        && !START.startsWith(line.toString());
                if (noise || line.length() > LONGEST) {
                    connection.spoilt();
                }
                return;
            }
            String text = line.toString().stripTrailing();
            line.setLength(0);
            if (inInterimHead) {
                inInterimHead = !text.isEmpty();
                if (!inInterimHead) {
                    connection.interimEnds();
                }
                return;
            }
            Matcher status = STATUS.matcher(text);
            if (!status.matches() || status.group(1).equals("101")) {
                connection.spoilt();
            } else if (status.group(1).startsWith("1")) {
                inInterimHead = true;
            } else {
                connection.firstLine(Integer.parseInt(status.group(1)));
            }
        }
    }

    /** Netty's decoder, which tells of what lies behind a whole answer. */
    private static final class Answers extends HttpResponseDecoder {
        boolean holdsMore() {
            return actualReadableBytes() > 0;
        }
    }

    /** A connection to an endpoint; it carries one call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Channel channel;
        private final Answers answers = new Answers();
        private Peer peer;
        /** Where it leads: its peer may have moved since. */
        private InetSocketAddress address;
        private Call call;
        /** The answer's head, once it has come. */
        private HttpResponse head;
        private boolean lineRead;
        private long bodyBytes;
        /** A byte of the answer has come. */
        private boolean answerBegun;
        private Future<?> answerTimer;
        private long idleSince;

        Connection(Channel channel) {
            this.channel = channel;
        }

        private void begin(Call next) {
            call = next;
            head = null;
            lineRead = false;
            bodyBytes = 0;
            answerTimer = null;
            answerBegun = false;
        }

        /** From here on the answer has to end before long. */
        private void answerBegins() {
            answerBegun = true;
        }

        /** A read is over. Most answers end in their first one and need no timer. */
        private void answerGoesOn() {
            if (call != null && answerBegun && answerTimer == null) {
                answerTimer = loop.schedule(this::spoilt, ANSWER_MS, TimeUnit.MILLISECONDS);
            }
        }

        /** A 1xx answer was ahead; the real one may take its time. */
        private void interimEnds() {
            answerBegun = false;
            if (answerTimer != null) {
                answerTimer.cancel(false);
                answerTimer = null;
            }
        }

        private boolean awaitsFirstLine() {
            return call != null && !lineRead;
        }

        private void firstLine(int code) {
            lineRead = true;
            if (code == 200) {
                call.delivered();
            }
        }

        /** The answer can't be read, or does not end: nothing that may still come on it is of use. */
        private void spoilt() {
            if (call != null) {
                call.spoilt();
                finish();
            }
            close();
        }

        /** The call has no more to do with this connection. */
        private void finish() {
            call.timer.cancel(false);
            if (answerTimer != null) {
                answerTimer.cancel(false);
            }
            call = null;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (call == null || part.decoderResult().isFailure()) {
                spoilt();
                return;
            }
            if (part instanceof HttpResponse response) {
                head = response;
                call.told = told(response);
                call.toldWaitMs = response.status().code() == 429 ? waitMs(response) : 0;
                if (HttpUtil.getContentLength(response, 0L) > LONGEST_ANSWER) {
                    spoilt();
                    return;
                }
            }
            if (part instanceof HttpContent content) {
                bodyBytes += content.content().readableBytes();
                if (bodyBytes > LONGEST_ANSWER) {
                    spoilt();
                    return;
                }
            }
            if (part instanceof LastHttpContent && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                call.answered(head);
                // An answer that overtakes its request leaves the connection in the middle of it.
                boolean keep = HttpUtil.isKeepAlive(head) && call.flushed && !answers.holdsMore();
                finish();
                if (keep && idle < mostIdle && channel.isActive()) {
                    loop.schedule(this::rested, REST_MS, TimeUnit.MILLISECONDS);
                } else {
                    close();
                }
            }
        }

        /** Nothing came behind the answer: the next call may go over this connection. */
        private void rested() {
            if (channel.isActive() && idle < mostIdle && address.equals(peer.address)) {
                idleSince = System.nanoTime();
                peer.idle.addLast(this);
                idle++;
            } else {
                close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (peer != null && peer.idle.remove(this)) {
                idle--;
            }
            if (call != null) {
                call.lost();
                finish();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        boolean isOpen() {
            return channel.isActive();
        }

        void close() {
            if (peer != null && peer.idle.remove(this)) {
                idle--;
            }
            channel.close();
        }
    }
}

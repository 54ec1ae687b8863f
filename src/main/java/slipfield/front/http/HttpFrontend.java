package slipfield.front.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.PreferHeapByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.core.AnswerPolling;
import slipfield.core.Frontend;
import slipfield.core.MessageIntake;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;
import slipfield.log.Log;
import slipfield.log.LoggedTask;
import slipfield.retry.Retry;
import slipfield.socket.AcceptLoop;
import slipfield.socket.ListenerChannel;
import slipfield.trace.Trace;

/**
 * The client side: checks what is handed in, and answers it. A message is journalled before its 202 is
 * written, and told to the module once that is out; what can't be taken is refused, and bad input is
 * answered without harm to anything else.
 *
 * <p>A connection holds a socket, so each has a time limit: a request must be whole so long after its first
 * byte, the first request of a connection so long after connecting, and one between requests is kept for a
 * while only. When there are too many, those that never asked anything make room first.
 */
public final class HttpFrontend implements Frontend {
    private static final int LONGEST_BODY = 64 * 1024;
    private static final long SWEEP_MS = 200;
    /** One in so many connections may follow ends. */
    private static final int FOLLOWERS = 4;
    /** Reads of one connection before the next one's turn. */
    private static final int READS = 16;
    /**
     * Reads that are looked at in one turn. Guards against a crowd whose requests would hold up what is due: the
     * turn's ends, notices and calls go out before the next ones are looked at.
     */
    private static final int TAKEN_IN_TURN = 16;
    /** Most bytes of one read: what a client has sent at once is a piece of work too. */
    private static final int LONGEST_READ = 16 * 1024;

    private final EventLoop loop;
    private final MessageIntake desk;
    private final Extensions hints;
    private final Reading reading;
    private final InetSocketAddress address;
    private final int mostClients;
    private final Crowd crowd;
    private final ServerBootstrap bootstrap;
    /** What was read and not looked at yet. */
    private final Deque<Pending> pending = new ArrayDeque<>();
    private final List<Taken> taken = new ArrayList<>();
    /** Absent unless the sender is traced. */
    private Trace trace;
    private AcceptLoop acceptLoop;
    private ListenerChannel listener;
    /** Connections that are made may still wait to be accepted. */
    private boolean accepting;
    private boolean closing;

    /** A message whose 202 waits for the journal. */
    private record Taken(Client client, PendingMessage held, boolean keepAlive) {
    }

    private record Pending(Client client, ChannelHandlerContext ctx, Object bytes) {
    }

    /**
     * What clients are told besides the protocol.
     *
     * @param reconnectMs over what time they are to connect anew; negative: nothing
     * @param waitScope whether a refusal tells what its wait holds for
     * @param follow where ends are asked for; absent: nowhere
     */
    public record Extensions(long reconnectMs, boolean waitScope, Optional<AnswerPolling> follow) {
        /** The protocol alone. */
        public static final Extensions NONE = new Extensions(-1, false, Optional.empty());
    }

    /** Will listen at this address, with so many connections of clients at most. */
    public HttpFrontend(EventLoop loop, InetSocketAddress address, int mostClients, MessageIntake desk) {
        this(loop, address, mostClients, desk, Extensions.NONE);
    }

    /** The same with further words to clients. */
    public HttpFrontend(EventLoop loop, InetSocketAddress address, int mostClients, MessageIntake desk, Extensions hints) {
        this.hints = hints;
        this.reading = new Reading(desk, hints.follow());
        this.address = address;
        this.loop = loop;
        this.desk = desk;
        this.mostClients = mostClients;
        this.crowd = new Crowd(mostClients);
        bootstrap = new ServerBootstrap()
                .channelFactory(ListenerChannel::new)
                .handler(new ListenerChannel.AcceptFailureHandler())
                .option(ChannelOption.SO_BACKLOG, 512)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // A buffer outside the heap for each read would be allocated and freed by the system each time.
                .childOption(ChannelOption.ALLOCATOR, new PreferHeapByteBufAllocator(ByteBufAllocator.DEFAULT))
                // Reads until nothing is left, so that a close behind a request is seen with it.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(64, 2048, LONGEST_READ).respectMaybeMoreData(false).maxMessagesPerRead(READS))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        handle(channel);
                    }
                });
    }

    private void handle(Channel channel) {
        Client client = new Client(channel);
        channel.pipeline().addLast(client.requests, new HttpResponseEncoder(), new Framing(), new Bodies(client),
                client);
    }

    /** Accounts for the reading of requests from now on. */
    public void setTrace(Trace by) {
        trace = by;
    }

    /** Answers these bytes as a client's on a connection in memory: the way of every request, with no socket. */
    public void warmUp(byte[] requests) {
        EmbeddedChannel memory = new EmbeddedChannel();
        handle(memory);
        memory.pipeline().fireChannelActive();
        memory.writeInbound(Unpooled.wrappedBuffer(requests));
        while (!pending.isEmpty()) {
            takeSome();
        }
        memory.finishAndReleaseAll();
    }

    @Override
    public InetSocketAddress listen() throws IOException {
        loop.scheduleWithFixedDelay(LoggedTask.of("front.sweep", crowd::sweep), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        acceptLoop = Retry.within(Retry.START_MS, "accept", AcceptLoop::open);
        bootstrap.group(acceptLoop.group(), loop);
        listener = Retry.within(Retry.START_MS, "listen", this::bind);
        accepting = true;
        return listener.localAddress();
    }

    private ListenerChannel bind() throws IOException {
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen at " + Config.hostPort(address) + ": " + bound.cause().getMessage()
                    + "; is another sender running there? Set another `listen`, or GW_LISTEN");
        }
        return (ListenerChannel) bound.channel();
    }

    /**
     * Takes no new connection, and ends each that stands with the answer to its next request. None is closed
     * between requests: one that is on its way to it would be ended without an answer.
     */
    @Override
    public void close() {
        closing = true;
        crowd.closing();
        hints.follow().ifPresent(AnswerPolling::release);
        // Told behind the connections that were accepted last.
        listener.closeFuture().addListener(closed -> loop.execute(() -> accepting = false));
        listener.closeFuture().addListener(closed -> acceptLoop.shutdown());
        listener.acceptPendingAndClose();
    }

    @Override
    public void kill() {
        if (listener != null && listener.isOpen()) {
            listener.close().syncUninterruptibly();
            acceptLoop.shutdown();
        }
    }

    @Override
    public void finish() {
        crowd.finish();
    }

    private void await(Pending read) {
        pending.add(read);
        if (pending.size() == 1) {
            loop.execute(this::takeSome);
        }
    }

    /**
     * Looks at what was read first. What a client has sent that has left by now is dropped unread: it has given
     * up waiting and hands its message in again, under another id. Guards against a jam that feeds itself:
     * whatever makes requests stand unread, each would cost all the work of a delivery that counts for nothing,
     * and come again. It does harm to a client that ends its sending and still waits for the answer, which HTTP
     * clients don't do.
     */
    private void takeSome() {
        if (trace != null) {
            trace.enter(Trace.Part.READS);
        }
        for (int i = 0; i < TAKEN_IN_TURN && !pending.isEmpty(); i++) {
            Pending first = pending.peek();
            try {
                if (first.client.channel.isActive()) {
                    first.client.requests.decode(first.ctx, first.bytes);
                } else {
                    ReferenceCountUtil.release(first.bytes);
                }
            } catch (Exception e) {
                // A fault over one request must not leave those behind it unanswered.
                Log.warn("front.request_failed", "cause", e);
                first.client.channel.close();
            } finally {
                first.client.unread--;
                pending.remove();
            }
        }
        settle();
        if (trace != null) {
            trace.leave();
        }
        if (!pending.isEmpty()) {
            // Not at once: the sockets are looked at in between, for the list and for answers.
            loop.schedule(this::takeSome, 0, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public int openConnections() {
        return crowd.size();
    }

    @Override
    public boolean accepting() {
        return accepting;
    }

    /** Whether a 202 waits for the journal on this connection, or for this id. */
    private boolean awaited(Client client, String id) {
        for (Taken t : taken) {
            if (t.client == client || t.held.id.equals(id)) {
                return true;
            }
        }
        return false;
    }

    /** Answers all whose messages were taken, once these are in the journal, in one write. */
    private void settle() {
        if (taken.isEmpty()) {
            return;
        }
        boolean written = desk.writeAccepted();
        List<Taken> told = List.copyOf(taken);
        taken.clear();
        for (Taken t : told) {
            if (written || desk.isRecorded(t.held)) {
                t.client.end(t.keepAlive, answer(HttpResponseStatus.ACCEPTED, ""))
                        .addListener(f -> desk.acceptanceReported(t.held, f.isSuccess()));
            } else {
                desk.acceptanceReported(t.held, false);
                t.client.end(t.keepAlive, answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room"));
            }
        }
    }

    /** Netty's decoder, which tells of first bytes and of what lies behind a whole request. */
    private final class Requests extends HttpRequestDecoder {
        private final Client client;

        Requests(Client client) {
            this.client = client;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
            client.begun();
            client.unread++;
            await(new Pending(client, ctx, bytes));
        }

        void decode(ChannelHandlerContext ctx, Object bytes) throws Exception {
            super.channelRead(ctx, bytes);
        }

        /** Left as it is: {@link Framing} turns such a request away. */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        }

        boolean holdsMore() {
            return actualReadableBytes() > 0;
        }
    }

    /** Collects bodies; a longer one is answered 413, and what the client still sends is not read. */
    private static final class Bodies extends HttpObjectAggregator {
        private final Client client;

        Bodies(Client client) {
            super(LONGEST_BODY);
            this.client = client;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            client.last(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 64 KiB");
        }
    }

    /** One connection of a client. */
    private final class Client extends SimpleChannelInboundHandler<FullHttpRequest> implements Crowd.Guest {
        private final Channel channel;
        private final Requests requests = new Requests(this);
        private final Crowd.Seat seat = new Crowd.Seat(this);
        /** A first byte has come of the request that is awaited. */
        private boolean begun;
        /** It has handed in a message. */
        private boolean customer;
        /** Reads that were not looked at yet: there may be a whole request in them. */
        private int unread;
        /** FOLLOWING: what it waits for. */
        private AnswerPolling.Poll asked;

        Client(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            crowd.came(seat);
        }

        @Override
        public boolean hasUnread() {
            return unread > 0;
        }

        @Override
        public void makeRoom() {
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            crowd.left(seat);
            if (asked != null) {
                asked.cancel();
                asked = null;
            }
        }

        /** Bytes have come: the time of a request runs from its first, and it is not to make room for others. */
        private void begun() {
            begun = true;
            if (seat.state() == Crowd.State.IDLE || seat.state() == Crowd.State.VISITING) {
                enter(Crowd.State.ASKING);
            }
        }

        private void enter(Crowd.State next) {
            crowd.enter(seat, next);
        }

        @Override
        public void outOfTime() {
            if (unread > 0) {
                // The sender is late, not the client.
                return;
            }
            if (begun && seat.state() != Crowd.State.ENDING) {
                last(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time");
            } else {
                channel.close();
            }
        }

        /** Answers what was not read to its end, and closes a little later. */
        private void last(HttpResponseStatus status, String text) {
            enter(Crowd.State.ENDING);
            channel.config().setAutoRead(false);
            FullHttpResponse answer = answer(status, text);
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(answer);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (awaited(this, "")) {
                // Answers go out in the order of a connection's requests.
                settle();
            }
            if (seat.state() == Crowd.State.ENDING) {
                // What lies behind the last request may have been hidden in its body.
                return;
            }
            begun = requests.holdsMore();
            enter(begun ? Crowd.State.ASKING : customer ? Crowd.State.IDLE : Crowd.State.VISITING);
            String path = request.uri().split("\\?", 2)[0];
            if (request.decoderResult().isFailure()) {
                last(HttpResponseStatus.BAD_REQUEST, "not HTTP");
            } else if (path.equals("/healthz")) {
                FullHttpResponse health = answer(desk.ready() ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
                if (hints.reconnectMs() >= 0) {
                    health.headers().set("X-Reconnect-Within-Ms", hints.reconnectMs());
                }
                end(request, health);
            } else if (path.equals("/ends") && hints.follow().isPresent()) {
                follow(request, hints.follow().get());
            } else if (!desk.knowsClass(path.split("/", 3).length > 1 ? path.split("/", 3)[1] : "")) {
                end(request, HttpResponseStatus.NOT_FOUND, "no such path");
            } else if (!request.method().equals(HttpMethod.POST)) {
                end(request, HttpResponseStatus.METHOD_NOT_ALLOWED, "messages are handed in by POST");
            } else {
                handIn(request, path);
            }
        }

        private void handIn(FullHttpRequest request, String path) {
            MessageIntake.Submission submission;
            try {
                submission = reading.read(request, path.split("/", 3)[1]);
            } catch (BadInput bad) {
                end(request, HttpResponseStatus.BAD_REQUEST, bad.getMessage());
                return;
            }
            // What is said of an id must be true of the journal.
            String id = submission.id();
            if (awaited(this, id)) {
                settle();
            }
            Optional<MessageIntake.DuplicateState> before = Optional.empty();
            for (AnswerRecipient claim : submission.recipients()) {
                before = desk.checkDuplicate(id, claim);
            }
            if (before.isPresent()) {
                end(request, before.get() == MessageIntake.DuplicateState.UNDELIVERED ? HttpResponseStatus.CONFLICT
                        : HttpResponseStatus.ACCEPTED, "");
                return;
            }
            if (!desk.knowsDestination(submission.destination())) {
                end(request, HttpResponseStatus.SERVICE_UNAVAILABLE, "no list names this dest");
                return;
            }
            customer = true;
            if (seat.state() == Crowd.State.VISITING) {
                enter(Crowd.State.IDLE);
            }
            MessageIntake.SubmissionResult taking = desk.submit(submission);
            if (taking.message().isPresent()) {
                taken.add(new Taken(this, taking.message().get(), HttpUtil.isKeepAlive(request)));
            } else {
                FullHttpResponse refusal = answer(HttpResponseStatus.SERVICE_UNAVAILABLE, taking.reason());
                if (taking.waitMs() > 0) {
                    refusal.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(taking.waitMs()));
                    if (hints.waitScope()) {
                        refusal.headers().set("X-Wait-Scope", taking.destination() ? "destination" : "sender");
                    }
                }
                end(request, refusal);
            }
        }

        /** A long poll for ends: answered when there is one, when its time is over, or when the sender ends. */
        private void follow(FullHttpRequest request, AnswerPolling ends) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            String peer = parameter(query, "client");
            if (peer.isEmpty() || !parameter(query, "wait_ms").matches("[0-9]{0,6}")) {
                end(request, HttpResponseStatus.BAD_REQUEST, "/ends?client=NAME&after=CURSOR&wait_ms=N");
                return;
            }
            if (crowd.in(Crowd.State.FOLLOWING) >= Math.max(1, mostClients / FOLLOWERS)) {
                end(request, HttpResponseStatus.SERVICE_UNAVAILABLE, "too many follow");
                return;
            }
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            enter(Crowd.State.FOLLOWING);
            // Read no further: its next request comes after this one's answer.
            channel.config().setAutoRead(false);
            String waitMs = parameter(query, "wait_ms");
            asked = ends.poll(peer, parameter(query, "after"), waitMs.isEmpty() ? 0 : Long.parseLong(waitMs), lines -> {
                asked = null;
                enter(Crowd.State.IDLE);
                channel.config().setAutoRead(true);
                FullHttpResponse told = answer(HttpResponseStatus.OK, lines);
                told.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson");
                end(keepAlive, told);
            });
            if (seat.state() != Crowd.State.FOLLOWING) {
                asked = null;
            }
        }

        private static String parameter(QueryStringDecoder query, String name) {
            return query.parameters().getOrDefault(name, List.of("")).get(0);
        }

        private ChannelFuture end(FullHttpRequest request, HttpResponseStatus status, String text) {
            return end(request, answer(status, request.method().equals(HttpMethod.HEAD) ? "" : text));
        }

        private ChannelFuture end(FullHttpRequest request, FullHttpResponse answer) {
            return end(HttpUtil.isKeepAlive(request), answer);
        }

        private ChannelFuture end(boolean keepAlive, FullHttpResponse answer) {
            if (!closing && keepAlive) {
                return channel.writeAndFlush(answer);
            }
            enter(Crowd.State.ENDING);
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            return channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
        }

        /** A client that does not read its answers is not read either. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            channel.config().setAutoRead(channel.isWritable() && seat.state() != Crowd.State.ENDING && seat.state() != Crowd.State.FOLLOWING);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof CodecException)) {
                Log.warn("front.connection_closed", "cause", cause);
            }
            ctx.close();
        }
    }

    /** Seconds with three decimals, as {@code Retry-After} has them here. */
    private static String seconds(long ms) {
        return ms / 1000 + "." + Long.toString(1000 + ms % 1000).substring(1);
    }

    private static FullHttpResponse answer(HttpResponseStatus status, String text) {
        FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
        return answer;
    }
}

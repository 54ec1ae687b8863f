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
 * Accepts messages over HTTP/1.1. Each submission is validated and answered. A message is written to the journal before its 202
 * is sent, and passed to the delivery policy after that. A message that cannot be accepted is refused; invalid input gets an
 * error answer and affects no other request.
 *
 * <p>Each connection occupies a socket, so their number and duration are limited. A request must be complete within a time
 * limit, which starts with its first byte, or for the first request when the client connects. Idle connections are closed after
 * a while. When there are too many connections, {@link ClientConnections} selects those to close.
 */
public final class HttpFrontend implements Frontend {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final long SWEEP_MS = 200;
    /** The limit on connections divided by this is the limit on concurrent polls for final answers. */
    private static final int CONNECTIONS_PER_POLL = 4;
    /** The number of reads from one connection before the event loop continues with the next one. */
    private static final int READS_PER_CONNECTION = 16;
    /**
     * The number of reads that are processed in one event-loop iteration. Many requests at once would otherwise delay other work:
     * the final answers, notices and calls of an iteration are sent before the next reads are processed.
     */
    private static final int READS_PER_ITERATION = 16;
    /** Limit on the bytes of one read: it also limits the work that one read can cause. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private final EventLoop loop;
    private final MessageIntake intake;
    private final Extensions extensions;
    private final SubmissionParser parser;
    private final InetSocketAddress address;
    private final int maxClients;
    private final ClientConnections connections;
    private final ServerBootstrap bootstrap;
    /** Data that was received and is not decoded yet. */
    private final Deque<ReceivedData> receivedData = new ArrayDeque<>();
    private final List<AcceptedMessage> accepted = new ArrayList<>();
    /** Null unless the sender is traced. */
    private Trace trace;
    private AcceptLoop acceptLoop;
    private ListenerChannel listener;
    /** Whether established connections may still wait to be accepted. */
    private boolean accepting;
    private boolean closing;

    /** An accepted message whose 202 must wait until it is in the journal. */
    private record AcceptedMessage(ClientConnection client, PendingMessage message, boolean keepAlive) {
    }

    private record ReceivedData(ClientConnection client, ChannelHandlerContext ctx, Object bytes) {
    }

    /**
     * Optional extensions of the protocol.
     *
     * @param reconnectMs the period in milliseconds over which clients should spread their reconnects; it is sent with the
     *     answers to health checks unless it is negative
     * @param waitScope whether a refusal says if its delay applies to the destination or to the whole sender
     * @param polling serves polls for final answers; empty if polling is disabled
     */
    public record Extensions(long reconnectMs, boolean waitScope, Optional<AnswerPolling> polling) {
        /** No extensions. */
        public static final Extensions NONE = new Extensions(-1, false, Optional.empty());
    }

    /** Creates a frontend without protocol extensions. */
    public HttpFrontend(EventLoop loop, InetSocketAddress address, int maxClients, MessageIntake intake) {
        this(loop, address, maxClients, intake, Extensions.NONE);
    }

    /**
     * Creates a frontend; it does not listen yet.
     *
     * @param address the address to listen at
     * @param maxClients the limit on client connections
     */
    public HttpFrontend(EventLoop loop, InetSocketAddress address, int maxClients, MessageIntake intake, Extensions extensions) {
        this.extensions = extensions;
        this.parser = new SubmissionParser(intake, extensions.polling());
        this.address = address;
        this.loop = loop;
        this.intake = intake;
        this.maxClients = maxClients;
        this.connections = new ClientConnections(maxClients);
        bootstrap = new ServerBootstrap()
                .channelFactory(ListenerChannel::new)
                .handler(new ListenerChannel.AcceptFailureHandler())
                .option(ChannelOption.SO_BACKLOG, 512)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Direct buffers would be allocated and freed by the system for each read.
                .childOption(ChannelOption.ALLOCATOR, new PreferHeapByteBufAllocator(ByteBufAllocator.DEFAULT))
                // Read until the socket is empty, so that a close that follows a request is noticed together with it.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(64, 2048, MAX_READ_BYTES).respectMaybeMoreData(false)
                                .maxMessagesPerRead(READS_PER_CONNECTION))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        addHandlers(channel);
                    }
                });
    }

    private void addHandlers(Channel channel) {
        ClientConnection client = new ClientConnection(channel);
        channel.pipeline().addLast(client.decoder, new HttpResponseEncoder(), new RequestFramingValidator(),
                new BodyAggregator(client), client);
    }

    /** Records the CPU time of processing requests from now on. */
    public void setTrace(Trace newTrace) {
        trace = newTrace;
    }

    /** Processes requests on an in-memory connection, without a socket, so that the code on their path is loaded and compiled. */
    public void warmUp(byte[] requests) {
        EmbeddedChannel memory = new EmbeddedChannel();
        addHandlers(memory);
        memory.pipeline().fireChannelActive();
        memory.writeInbound(Unpooled.wrappedBuffer(requests));
        while (!receivedData.isEmpty()) {
            processReads();
        }
        memory.finishAndReleaseAll();
    }

    @Override
    public InetSocketAddress listen() throws IOException {
        loop.scheduleWithFixedDelay(LoggedTask.of("front.sweep", connections::sweep), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
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
     * Stops accepting connections and closes each open one with the answer to its next request. Idle connections are not closed
     * at once, because a request that is already on its way would get no answer.
     */
    @Override
    public void close() {
        closing = true;
        connections.startClosing();
        extensions.polling().ifPresent(AnswerPolling::release);
        // This task runs after the registration of the connections that were accepted last.
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
        connections.closeIdle();
    }

    private void enqueue(ReceivedData read) {
        receivedData.add(read);
        if (receivedData.size() == 1) {
            loop.execute(this::processReads);
        }
    }

    /**
     * Processes the oldest reads. Data from a client that has disconnected is discarded: the client has given up waiting and will
     * submit its message again under another id. Under overload, the delivery of such messages would cost work without any use,
     * and the repeated submissions would keep the sender overloaded. A client that shuts down its output and still waits for the
     * answer gets none, but HTTP clients do not do that.
     */
    private void processReads() {
        if (trace != null) {
            trace.enter(Trace.Part.READS);
        }
        for (int i = 0; i < READS_PER_ITERATION && !receivedData.isEmpty(); i++) {
            ReceivedData first = receivedData.peek();
            try {
                if (first.client.channel.isActive()) {
                    first.client.decoder.decode(first.ctx, first.bytes);
                } else {
                    ReferenceCountUtil.release(first.bytes);
                }
            } catch (Exception e) {
                // An error in one request must not leave the following ones unanswered.
                Log.warn("front.request_failed", "cause", e);
                first.client.channel.close();
            } finally {
                first.client.unread--;
                receivedData.remove();
            }
        }
        answerAccepted();
        if (trace != null) {
            trace.leave();
        }
        if (!receivedData.isEmpty()) {
            // A scheduled task lets the event loop read from its sockets first, for the endpoint list and for answers.
            loop.schedule(this::processReads, 0, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public int openConnections() {
        return connections.size();
    }

    @Override
    public boolean accepting() {
        return accepting;
    }

    /** Whether an accepted message of this connection, or with this id, still waits for the journal. */
    private boolean awaitsJournal(ClientConnection client, String id) {
        for (AcceptedMessage a : accepted) {
            if (a.client == client || a.message.id.equals(id)) {
                return true;
            }
        }
        return false;
    }

    /** Writes all accepted messages to the journal in one write, and answers their clients. */
    private void answerAccepted() {
        if (accepted.isEmpty()) {
            return;
        }
        boolean written = intake.writeAccepted();
        List<AcceptedMessage> batch = List.copyOf(accepted);
        accepted.clear();
        for (AcceptedMessage a : batch) {
            if (written || intake.isRecorded(a.message)) {
                a.client.send(a.keepAlive, answer(HttpResponseStatus.ACCEPTED, ""))
                        .addListener(f -> intake.acceptanceReported(a.message, f.isSuccess()));
            } else {
                intake.acceptanceReported(a.message, false);
                a.client.send(a.keepAlive, answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room"));
            }
        }
    }

    /** Netty's decoder, which queues received data first and reports whether data remains after a complete request. */
    private final class RequestDecoder extends HttpRequestDecoder {
        private final ClientConnection client;

        RequestDecoder(ClientConnection client) {
            this.client = client;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
            client.dataReceived();
            client.unread++;
            enqueue(new ReceivedData(client, ctx, bytes));
        }

        void decode(ChannelHandlerContext ctx, Object bytes) throws Exception {
            super.channelRead(ctx, bytes);
        }

        /** Leaves the headers unchanged: {@link RequestFramingValidator} rejects such a request. */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        }

        boolean hasMoreData() {
            return actualReadableBytes() > 0;
        }
    }

    /** Collects request bodies. A body over {@link #MAX_BODY_BYTES} is answered with 413, and the rest of it is not read. */
    private static final class BodyAggregator extends HttpObjectAggregator {
        private final ClientConnection client;

        BodyAggregator(ClientConnection client) {
            super(MAX_BODY_BYTES);
            this.client = client;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            client.answerAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 64 KiB");
        }
    }

    /** A client connection. */
    private final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest>
            implements ClientConnections.Connection {
        private final Channel channel;
        private final RequestDecoder decoder = new RequestDecoder(this);
        private final ClientConnections.Entry entry = new ClientConnections.Entry(this);
        /** Whether the first byte of the next request has been received. */
        private boolean requestStarted;
        /** Whether a valid submission was received on this connection. */
        private boolean hasSubmitted;
        /** The number of reads that are not decoded yet; they may contain a complete request. */
        private int unread;
        /** The current poll; null unless the state is POLLING. */
        private AnswerPolling.Poll poll;

        ClientConnection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(entry);
        }

        @Override
        public boolean hasUnread() {
            return unread > 0;
        }

        @Override
        public void evict() {
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(entry);
            if (poll != null) {
                poll.cancel();
                poll = null;
            }
        }

        /** Data was received: it starts the time limit of the request, and the connection is not idle any more. */
        private void dataReceived() {
            requestStarted = true;
            if (entry.state() == ClientConnections.State.IDLE || entry.state() == ClientConnections.State.IDLE_LOW_PRIORITY) {
                setState(ClientConnections.State.RECEIVING);
            }
        }

        private void setState(ClientConnections.State next) {
            connections.setState(entry, next);
        }

        @Override
        public void timedOut() {
            if (unread > 0) {
                // The sender is late, not the client: the request may have been received completely.
                return;
            }
            if (requestStarted && entry.state() != ClientConnections.State.CLOSING) {
                answerAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time");
            } else {
                channel.close();
            }
        }

        /** Answers a request that was not read completely. The connection is closed after a short delay. */
        private void answerAndClose(HttpResponseStatus status, String text) {
            setState(ClientConnections.State.CLOSING);
            channel.config().setAutoRead(false);
            FullHttpResponse answer = answer(status, text);
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(answer);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (awaitsJournal(this, "")) {
                // Answers must have the order of the requests on the connection.
                answerAccepted();
            }
            if (entry.state() == ClientConnections.State.CLOSING) {
                // Data that follows the last request may be part of its body.
                return;
            }
            requestStarted = decoder.hasMoreData();
            setState(requestStarted ? ClientConnections.State.RECEIVING
                    : hasSubmitted ? ClientConnections.State.IDLE : ClientConnections.State.IDLE_LOW_PRIORITY);
            String path = request.uri().split("\\?", 2)[0];
            if (request.decoderResult().isFailure()) {
                answerAndClose(HttpResponseStatus.BAD_REQUEST, "not HTTP");
            } else if (path.equals("/healthz")) {
                FullHttpResponse health = answer(intake.ready() ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
                if (extensions.reconnectMs() >= 0) {
                    health.headers().set("X-Reconnect-Within-Ms", extensions.reconnectMs());
                }
                send(request, health);
            } else if (path.equals("/ends") && extensions.polling().isPresent()) {
                poll(request, extensions.polling().get());
            } else if (!intake.knowsClass(path.split("/", 3).length > 1 ? path.split("/", 3)[1] : "")) {
                send(request, HttpResponseStatus.NOT_FOUND, "no such path");
            } else if (!request.method().equals(HttpMethod.POST)) {
                send(request, HttpResponseStatus.METHOD_NOT_ALLOWED, "messages are handed in by POST");
            } else {
                submit(request, path);
            }
        }

        private void submit(FullHttpRequest request, String path) {
            MessageIntake.Submission submission;
            try {
                submission = parser.parse(request, path.split("/", 3)[1]);
            } catch (BadInput bad) {
                send(request, HttpResponseStatus.BAD_REQUEST, bad.getMessage());
                return;
            }
            // The answer about an id must reflect the journal, so a pending write of the same id comes first.
            String id = submission.id();
            if (awaitsJournal(this, id)) {
                answerAccepted();
            }
            Optional<MessageIntake.DuplicateState> duplicate = Optional.empty();
            for (AnswerRecipient recipient : submission.recipients()) {
                duplicate = intake.checkDuplicate(id, recipient);
            }
            if (duplicate.isPresent()) {
                send(request, duplicate.get() == MessageIntake.DuplicateState.UNDELIVERED ? HttpResponseStatus.CONFLICT
                        : HttpResponseStatus.ACCEPTED, "");
                return;
            }
            if (!intake.knowsDestination(submission.destination())) {
                send(request, HttpResponseStatus.SERVICE_UNAVAILABLE, "no list names this dest");
                return;
            }
            hasSubmitted = true;
            if (entry.state() == ClientConnections.State.IDLE_LOW_PRIORITY) {
                setState(ClientConnections.State.IDLE);
            }
            MessageIntake.SubmissionResult result = intake.submit(submission);
            if (result.message().isPresent()) {
                accepted.add(new AcceptedMessage(this, result.message().get(), HttpUtil.isKeepAlive(request)));
            } else {
                FullHttpResponse refusal = answer(HttpResponseStatus.SERVICE_UNAVAILABLE, result.reason());
                if (result.waitMs() > 0) {
                    refusal.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(result.waitMs()));
                    if (extensions.waitScope()) {
                        refusal.headers().set("X-Wait-Scope", result.destination() ? "destination" : "sender");
                    }
                }
                send(request, refusal);
            }
        }

        /** A long poll for final answers: answered when there is one, when its wait is over, or when the sender shuts down. */
        private void poll(FullHttpRequest request, AnswerPolling polling) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            String peer = parameter(query, "client");
            if (peer.isEmpty() || !parameter(query, "wait_ms").matches("[0-9]{0,6}")) {
                send(request, HttpResponseStatus.BAD_REQUEST, "/ends?client=NAME&after=CURSOR&wait_ms=N");
                return;
            }
            if (connections.count(ClientConnections.State.POLLING) >= Math.max(1, maxClients / CONNECTIONS_PER_POLL)) {
                send(request, HttpResponseStatus.SERVICE_UNAVAILABLE, "too many follow");
                return;
            }
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            setState(ClientConnections.State.POLLING);
            // Stop reading: the next request is processed after the answer to this one.
            channel.config().setAutoRead(false);
            String waitMs = parameter(query, "wait_ms");
            poll = polling.poll(peer, parameter(query, "after"), waitMs.isEmpty() ? 0 : Long.parseLong(waitMs), lines -> {
                poll = null;
                setState(ClientConnections.State.IDLE);
                channel.config().setAutoRead(true);
                FullHttpResponse answer = answer(HttpResponseStatus.OK, lines);
                answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson");
                send(keepAlive, answer);
            });
            if (entry.state() != ClientConnections.State.POLLING) {
                poll = null;
            }
        }

        private static String parameter(QueryStringDecoder query, String name) {
            return query.parameters().getOrDefault(name, List.of("")).get(0);
        }

        private ChannelFuture send(FullHttpRequest request, HttpResponseStatus status, String text) {
            return send(request, answer(status, request.method().equals(HttpMethod.HEAD) ? "" : text));
        }

        private ChannelFuture send(FullHttpRequest request, FullHttpResponse answer) {
            return send(HttpUtil.isKeepAlive(request), answer);
        }

        private ChannelFuture send(boolean keepAlive, FullHttpResponse answer) {
            if (!closing && keepAlive) {
                return channel.writeAndFlush(answer);
            }
            setState(ClientConnections.State.CLOSING);
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            return channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
        }

        /** Stops reading from a client that does not read its answers. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            channel.config().setAutoRead(channel.isWritable() && entry.state() != ClientConnections.State.CLOSING
                    && entry.state() != ClientConnections.State.POLLING);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof CodecException)) {
                Log.warn("front.connection_closed", "cause", cause);
            }
            ctx.close();
        }
    }

    /** Formats milliseconds as seconds with three decimals, for {@code Retry-After}. */
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

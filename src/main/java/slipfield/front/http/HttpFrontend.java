package slipfield.front.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.PreferHeapByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.core.AnswerPolling;
import slipfield.core.Frontend;
import slipfield.core.MessageIntake;
import slipfield.http.HeaderLimits;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;
import slipfield.log.FatalErrors;
import slipfield.log.Log;
import slipfield.log.LoggedTask;
import slipfield.memory.MemoryBudget;
import slipfield.memory.MemoryGuard;
import slipfield.retry.Retry;
import slipfield.socket.AcceptLoop;
import slipfield.socket.AutoReadGate;
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
     * Limit on the work that is done for clients in one event-loop iteration, in units of about a microsecond: a turn of a
     * connection is one, and so is a part of a request. Many requests at once would otherwise delay other work, since the final
     * answers, notices and calls of an iteration are sent before the next reads are processed. Hundreds of clients that send
     * single octets have to fit in, since others wait for their turn.
     */
    static final int WORK_PER_ITERATION = 512;
    /** The work of a complete request, beside that of its parts. */
    static final int WORK_PER_REQUEST = 28;
    /** The number of requests of one connection that are processed before the next connection's: one read may hold hundreds. */
    static final int REQUESTS_PER_TURN = 2;
    /** The number of heads and parts of bodies that are decoded in one turn: one read may hold thousands of chunks. */
    static final int PARTS_PER_TURN = 16;
    /** Limit on the bytes of one read: it also limits the work, and with all connections the memory, that reads can cause. */
    static final int MAX_READ_BYTES = 8 * 1024;
    /** The heap that a connection takes by itself, in bytes: its channel, handlers and decoders, as measured. */
    static final int BYTES_PER_CONNECTION = 6 * 1024;
    /** A client is read on once less than this is left of its answers; no answer but those of polls is larger. */
    private static final int LOW_WATER_BYTES = 4 * 1024;
    /** A client is not read while more than this is left of its answers. */
    private static final int HIGH_WATER_BYTES = 8 * 1024;
    /** The heap that buffered answers take, as a multiple of their bytes. */
    private static final int HEAP_PER_ANSWER_BYTE = 2;
    /**
     * The time for which a connection whose request is incomplete is not read again, for each such connection. So hundreds of
     * clients that send single octets cause 5,000 reads a second at most, and a few cause no delay that anybody notices.
     */
    private static final long PACE_MICROS_PER_INCOMPLETE = 200;
    private static final long MIN_PACE_MICROS = 5_000;
    /** A connection with so many requests, none of which submitted a message, makes room first if there are too many. */
    private static final int MAX_REQUESTS_WITHOUT_SUBMISSION = 8;
    /** When a client whose incomplete request was given up may try again: bad clients are closed by then. */
    private static final long GIVEN_UP_WAIT_MS = 500;
    /** Time between two logs of the closed connections and of the memory that clients hold. */
    private static final long REPORT_MS = 5000;
    /** The share of the memory budget, as a divisor, from which on only connections without received data are read. */
    private static final int BUDGET_PER_UNREAD_DATA = 6;
    /** Limit on the received data of one connection that is not decoded yet: a largest request with its header. */
    private static final int MAX_UNREAD_BYTES_PER_CONNECTION = MAX_BODY_BYTES + MAX_READ_BYTES;

    private final EventLoop loop;
    private final MessageIntake intake;
    private final Extensions extensions;
    private final SubmissionParser parser;
    private final InetSocketAddress address;
    private final int maxClients;
    private final ClientConnections connections;
    private final ServerBootstrap bootstrap;
    private final ReceiveQueue<ClientConnection> receiveQueue;
    private final MemoryGuard memory;
    private final CloseCounts closeCounts = new CloseCounts();
    private final List<AcceptedMessage> accepted = new ArrayList<>();
    /** Null unless the sender is traced. */
    private Trace trace;
    private AcceptLoop acceptLoop;
    private ListenerChannel listener;
    /** Whether established connections may still wait to be accepted. */
    private boolean accepting;
    private boolean closing;
    /** The number of connections whose request is incomplete after a turn. */
    private int incompleteRequests;
    /** Whether {@link #processReads} will run. */
    private boolean processingScheduled;

    /** An accepted message whose 202 must wait until it is in the journal. */
    private record AcceptedMessage(ClientConnection client, PendingMessage message, boolean keepAlive) {
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

    /** Creates a frontend without protocol extensions, and with a memory budget of its own. */
    public HttpFrontend(EventLoop loop, InetSocketAddress address, int maxClients, MessageIntake intake) {
        this(loop, address, maxClients, intake, Extensions.NONE, MemoryGuard.ofHeap());
    }

    /**
     * Creates a frontend; it does not listen yet.
     *
     * @param address the address to listen at
     * @param maxClients the limit on client connections
     * @param memory limits what clients make the sender hold
     */
    public HttpFrontend(EventLoop loop, InetSocketAddress address, int maxClients, MessageIntake intake, Extensions extensions,
            MemoryGuard memory) {
        this(loop, address, maxClients, intake, extensions, memory, memory.budget().limitBytes() / BUDGET_PER_UNREAD_DATA);
    }

    /** Creates a frontend with this limit on the received data that is not decoded yet. */
    HttpFrontend(EventLoop loop, InetSocketAddress address, int maxClients, MessageIntake intake, Extensions extensions,
            MemoryGuard memory, long maxUnreadBytes) {
        this.receiveQueue = new ReceiveQueue<>(maxUnreadBytes, MAX_UNREAD_BYTES_PER_CONNECTION);
        this.memory = memory;
        this.extensions = extensions;
        this.parser = new SubmissionParser(intake, extensions.polling());
        this.address = address;
        this.loop = loop;
        this.intake = intake;
        // Half of the budget is left for what clients send.
        this.maxClients = (int) Math.min(maxClients, Math.max(1, memory.budget().limitBytes() / 2 / BYTES_PER_CONNECTION));
        this.connections = new ClientConnections(this.maxClients);
        bootstrap = new ServerBootstrap()
                .channelFactory(ListenerChannel::new)
                .handler(new ListenerChannel.AcceptFailureHandler())
                .option(ChannelOption.SO_BACKLOG, 512)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Direct buffers would be allocated and freed by the system for each read.
                .childOption(ChannelOption.ALLOCATOR, new PreferHeapByteBufAllocator(ByteBufAllocator.DEFAULT))
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
                // Read until the socket is empty, so that a close that follows a request is noticed together with it.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(64, 2048, MAX_READ_BYTES).respectMaybeMoreData(false)
                                .maxMessagesPerRead(READS_PER_CONNECTION))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ListenerChannel.settingUp(channel);
                        addHandlers(channel);
                    }
                });
    }

    private void addHandlers(Channel channel) {
        ClientConnection client = new ClientConnection(channel);
        channel.pipeline().addLast(new AutoReadGate(), client.decoder, new HttpResponseEncoder(),
                new RequestFramingValidator(), client.aggregator, client);
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
        while (receiveQueue.hasReady()) {
            processReads();
        }
        memory.finishAndReleaseAll();
    }

    @Override
    public InetSocketAddress listen() throws IOException {
        loop.scheduleWithFixedDelay(LoggedTask.of("front.sweep", connections::sweep), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(LoggedTask.of("front.report", this::report), REPORT_MS, REPORT_MS, TimeUnit.MILLISECONDS);
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

    /** The memory of the received data that is not decoded yet, in bytes. Called on the event loop. */
    long unreadBytes() {
        return receiveQueue.bytes();
    }

    /** The number of connections that were closed for this reason. Called on the event loop. */
    long closed(CloseReason reason) {
        return closeCounts.count(reason);
    }

    private void report() {
        closeCounts.report();
        memory.report();
    }

    private void scheduleProcessing() {
        if (!processingScheduled && receiveQueue.hasReady()) {
            processingScheduled = true;
            loop.execute(this::processReads);
        }
    }

    /** Processes the oldest reads, one of each connection in turn, or the first requests of it. */
    private void processReads() {
        if (trace != null) {
            trace.enter(Trace.Part.READS);
        }
        try {
            int work = 0;
            while (work < WORK_PER_ITERATION) {
                ReceiveQueue<ClientConnection>.Source next = receiveQueue.beginTurn();
                if (next == null) {
                    break;
                }
                work += processRead(next);
            }
            answerAccepted();
        } finally {
            if (trace != null) {
                trace.leave();
            }
            processingScheduled = receiveQueue.hasReady();
            if (processingScheduled) {
                // A scheduled task lets the event loop read from its sockets first, for the endpoint list and for answers.
                loop.schedule(this::processReads, 0, TimeUnit.MILLISECONDS);
            }
        }
    }

    /**
     * Processes a connection's oldest read. Data from a client that has disconnected is discarded: the client has given up
     * waiting and will submit its message again under another id. Under overload, the delivery of such messages would cost work
     * without any use, and the repeated submissions would keep the sender overloaded. A client that shuts down its output and
     * still waits for the answer gets none, but HTTP clients do not do that.
     *
     * @return the work that this was, see {@link #WORK_PER_ITERATION}
     */
    private int processRead(ReceiveQueue<ClientConnection>.Source source) {
        ClientConnection client = source.connection();
        if (!client.channel.isActive()) {
            source.clear();
            return 1;
        }
        int work = 1;
        try {
            work += client.processTurn();
        } catch (Exception e) {
            // An error in one request must not leave the following ones unanswered.
            Log.warn("front.request_failed", "cause", e);
            client.close(CloseReason.FAULT);
        } finally {
            receiveQueue.endTurn(source);
            client.updateReading();
            client.updateAccounts();
        }
        memory.enforce();
        return work;
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
                a.client.send(a.keepAlive, HttpAnswers.of(HttpResponseStatus.ACCEPTED, ""))
                        .addListener(f -> intake.acceptanceReported(a.message, f.isSuccess()));
            } else {
                intake.acceptanceReported(a.message, false);
                a.client.send(a.keepAlive, HttpAnswers.of(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room"));
            }
        }
    }

    /** A client connection. */
    private final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest>
            implements ClientConnections.Connection, RequestDecoder.Connection, MemoryBudget.Holder {
        private final Channel channel;
        private final HeaderLimits headers = new HeaderLimits();
        private final RequestDecoder decoder = new RequestDecoder(this, headers);
        private final BodyAggregator aggregator = new BodyAggregator(MAX_BODY_BYTES, this::bodyTooLarge);
        private final ClientConnections.Entry entry = new ClientConnections.Entry(this);
        private final MemoryBudget.Account account = memory.budget().open("http_clients", this);
        /** Whether the first byte of the next request has been received. */
        private boolean requestStarted;
        /** Whether its last turn has completed no request. */
        private boolean requestIncomplete;
        /** Whether it is not read for a moment because many requests are incomplete. */
        private boolean paced;
        private int requestsWithoutSubmission;
        /** Whether a valid submission was received on this connection. */
        private boolean hasSubmitted;
        /** The reads that are not decoded yet; they may contain a complete request. */
        private final ReceiveQueue<ClientConnection>.Source unread = receiveQueue.addSource(this);
        /** The current poll; null unless the state is POLLING. */
        private AnswerPolling.Poll poll;

        ClientConnection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(entry);
            updateAccounts();
        }

        @Override
        public boolean hasUnread() {
            return unread.awaitsTurn();
        }

        @Override
        public boolean expendable() {
            return !hasSubmitted && (requestIncomplete || requestsWithoutSubmission >= MAX_REQUESTS_WITHOUT_SUBMISSION);
        }

        @Override
        public void evict() {
            if (requestIncomplete) {
                answerAndClose(HttpAnswers.refusal("too many connections", GIVEN_UP_WAIT_MS), CloseReason.EVICTED);
                channel.close();
            } else {
                close(closing ? CloseReason.LAST_REQUEST : CloseReason.EVICTED);
            }
        }

        private void close(CloseReason reason) {
            closeCounts.add(reason);
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(entry);
            unread.clear();
            account.close();
            setRequestIncomplete(false);
            if (poll != null) {
                poll.cancel();
                poll = null;
            }
        }

        /** Data was received: it starts the time limit of the request, and the connection is not idle any more. */
        @Override
        public void dataReceived(ByteBuf data) {
            requestStarted = true;
            if (entry.state() == ClientConnections.State.CLOSING) {
                // Data that follows the last request may be part of its body.
                data.release();
                return;
            }
            if (entry.state() == ClientConnections.State.IDLE || entry.state() == ClientConnections.State.IDLE_LOW_PRIORITY) {
                setState(ClientConnections.State.RECEIVING);
            }
            unread.add(data);
            updateReading();
            updateAccounts();
            scheduleProcessing();
        }

        /**
         * Accounts for what this connection holds, and for what its eviction depends on. Only an incomplete request can be given up: what was received after it or
         * waits for its turn may be complete, and is owed an answer.
         */
        private void updateAccounts() {
            long fixed = BYTES_PER_CONNECTION + unread.bytes() + HEAP_PER_ANSWER_BYTE * unsentAnswerBytes();
            long request = decoder.heapBytes() + aggregator.heapBytes();
            boolean incomplete = unread.isEmpty() && entry.state() != ClientConnections.State.CLOSING;
            connections.update(entry);
            account.set(incomplete ? fixed : fixed + request, incomplete ? request : 0);
        }

        private long unsentAnswerBytes() {
            ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
            return unsent == null ? 0 : unsent.totalPendingWriteBytes();
        }

        private void setState(ClientConnections.State next) {
            connections.setState(entry, next);
            if (next == ClientConnections.State.CLOSING) {
                unread.clear();
            }
        }

        /**
         * Reads and processes the client's data, or leaves both for now. It waits while a poll has no answer, since answers must
         * have the order of their requests, and while the client does not read its answers. Once the last answer was decided,
         * reading is left as it is.
         */
        private void updateReading() {
            if (entry.state() == ClientConnections.State.CLOSING) {
                return;
            }
            unread.suspend(!mayProcess());
            channel.config().setAutoRead(mayProcess() && unread.mayRead() && !paced);
        }

        @Override
        public boolean mayProcess() {
            return channel.isWritable() && entry.state() != ClientConnections.State.POLLING;
        }

        private void setRequestIncomplete(boolean incomplete) {
            if (incomplete != requestIncomplete) {
                requestIncomplete = incomplete;
                incompleteRequests += incomplete ? 1 : -1;
            }
        }

        /** Reads on after a pause if there are many incomplete requests: what comes meanwhile is then one read. */
        private void pace() {
            long micros = incompleteRequests * PACE_MICROS_PER_INCOMPLETE;
            if (micros >= MIN_PACE_MICROS && !paced) {
                paced = true;
                loop.schedule(() -> {
                    paced = false;
                    updateReading();
                }, micros, TimeUnit.MICROSECONDS);
            }
        }

        /**
         * Processes the oldest read, or some requests of it.
         *
         * @return the work that this was, see {@link #WORK_PER_ITERATION}
         */
        private int processTurn() throws Exception {
            ByteBuf bytes = unread.hasRest() ? Unpooled.EMPTY_BUFFER : unread.take();
            boolean rest = decoder.decode(bytes, REQUESTS_PER_TURN, PARTS_PER_TURN);
            if (!rest) {
                unread.processed();
            }
            boolean partReceived = decoder.heapBytes() + aggregator.heapBytes() > 0;
            setRequestIncomplete(rest ? decoder.requestsLeft() == REQUESTS_PER_TURN : partReceived);
            if (requestIncomplete && !rest) {
                pace();
            }
            unread.prefer(hasSubmitted && !requestIncomplete);
            return PARTS_PER_TURN - decoder.partsLeft() + WORK_PER_REQUEST * (REQUESTS_PER_TURN - decoder.requestsLeft());
        }

        @Override
        public void timedOut() {
            if (hasUnread() && !requestIncomplete) {
                // The sender is late, not the client: the request may have been received completely.
                return;
            }
            switch (entry.state()) {
                // The reason was counted with the answer.
                case CLOSING -> channel.close();
                case IDLE, IDLE_LOW_PRIORITY -> close(CloseReason.IDLE);
                default -> requestTimedOut();
            }
        }

        private void requestTimedOut() {
            if (!requestStarted) {
                close(CloseReason.SILENT);
                return;
            }
            answerAndClose(HttpAnswers.of(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time"),
                    channel.isWritable() ? CloseReason.REQUEST_TIMEOUT : CloseReason.ANSWERS_UNREAD);
            discardRequest();
        }

        /** Refuses a request of which only a part has come, to make room for others. */
        @Override
        public void reclaim() {
            answerAndClose(HttpAnswers.refusal("too many requests are incomplete", GIVEN_UP_WAIT_MS), CloseReason.MEMORY);
            discardRequest();
        }

        /** Releases the part of a request that has come. The handlers that are removed hold it; nothing is decoded any more. */
        private void discardRequest() {
            channel.pipeline().remove(aggregator);
            channel.pipeline().remove(decoder);
            headers.discard();
            updateAccounts();
        }

        private void bodyTooLarge() {
            answerAndClose(HttpAnswers.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 64 KiB"), CloseReason.TOO_LARGE);
        }

        /** Answers a request that was not read completely. The connection is closed after a short delay. */
        private void answerAndClose(FullHttpResponse answer, CloseReason reason) {
            closeCounts.add(reason);
            setState(ClientConnections.State.CLOSING);
            channel.config().setAutoRead(false);
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(answer);
        }

        private void answerInvalid(Throwable cause) {
            if (cause instanceof TooLongHttpHeaderException) {
                answerAndClose(HttpAnswers.of(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                        "header fields over 8 KiB, or over " + HeaderLimits.MAX_FIELDS), CloseReason.TOO_LARGE);
            } else {
                answerAndClose(HttpAnswers.of(HttpResponseStatus.BAD_REQUEST, "not HTTP"), CloseReason.INVALID);
            }
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
            headers.messageEnded();
            requestsWithoutSubmission++;
            requestStarted = decoder.hasMoreData();
            setState(requestStarted ? ClientConnections.State.RECEIVING
                    : hasSubmitted ? ClientConnections.State.IDLE : ClientConnections.State.IDLE_LOW_PRIORITY);
            String path = request.uri().split("\\?", 2)[0];
            if (request.decoderResult().isFailure()) {
                answerInvalid(request.decoderResult().cause());
            } else if (path.equals("/healthz")) {
                FullHttpResponse health = HttpAnswers.of(intake.ready() ? HttpResponseStatus.OK
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
                send(request, HttpAnswers.refusal(result, extensions.waitScope()));
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
            updateReading();
            String waitMs = parameter(query, "wait_ms");
            poll = polling.poll(peer, parameter(query, "after"), waitMs.isEmpty() ? 0 : Long.parseLong(waitMs), lines -> {
                poll = null;
                setState(ClientConnections.State.IDLE);
                updateReading();
                scheduleProcessing();
                FullHttpResponse answer = HttpAnswers.of(HttpResponseStatus.OK, lines);
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
            return send(request, HttpAnswers.of(status, request.method().equals(HttpMethod.HEAD) ? "" : text));
        }

        private ChannelFuture send(FullHttpRequest request, FullHttpResponse answer) {
            return send(HttpUtil.isKeepAlive(request), answer);
        }

        private ChannelFuture send(boolean keepAlive, FullHttpResponse answer) {
            if (!closing && keepAlive) {
                return channel.writeAndFlush(answer);
            }
            closeCounts.add(CloseReason.LAST_REQUEST);
            setState(ClientConnections.State.CLOSING);
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            return channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            updateReading();
            updateAccounts();
            scheduleProcessing();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrors.check("client connection", cause);
            if (!(cause instanceof IOException || cause instanceof CodecException)) {
                Log.warn("front.connection_closed", "cause", cause);
            }
            close(cause instanceof IOException ? CloseReason.CONNECTION_LOST : CloseReason.FAULT);
        }
    }
}

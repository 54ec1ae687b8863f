package slipfield.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
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
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import slipfield.config.BadInput;
import slipfield.core.AnswerPolling;
import slipfield.core.MessageIntake;
import slipfield.http.HeaderLimits;
import slipfield.journal.AnswerRecipient;
import slipfield.log.FatalErrors;
import slipfield.log.Log;
import slipfield.memory.MemoryBudget;
import slipfield.socket.AutoReadGate;

/**
 * A client connection: receives requests, submits their messages or serves their polls, and answers them in their order. It accounts
 * for the memory that its client makes the sender hold.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest>
        implements ClientConnections.Connection, RequestDecoder.Connection, MemoryBudget.Holder {
    static final int MAX_BODY_BYTES = 64 * 1024;
    /** The work of a complete request, beside that of its parts. */
    static final int WORK_PER_REQUEST = 28;
    /** The number of requests of one connection that are processed before the next connection's: one read may hold hundreds. */
    static final int REQUESTS_PER_TURN = 2;
    /** The number of heads and parts of bodies that are decoded in one turn: one read may hold thousands of chunks. */
    static final int PARTS_PER_TURN = 16;
    /** The heap that a connection takes by itself, in bytes: its channel, handlers and decoders, as measured. */
    static final int BYTES_PER_CONNECTION = 6 * 1024;
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

    private final Channel channel;
    private final FrontendContext shared;
    private final HeaderLimits headers = new HeaderLimits();
    private final RequestDecoder decoder = new RequestDecoder(this, headers);
    private final BodyAggregator aggregator = new BodyAggregator(MAX_BODY_BYTES, this::bodyTooLarge);
    private final ClientConnections.Entry entry = new ClientConnections.Entry(this);
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
    private final ReceiveQueue<ClientConnection>.Source unread;
    /** Null until the connection is active. */
    private MemoryBudget.Account account;
    /** The current poll; null unless the state is POLLING. */
    private AnswerPolling.Poll poll;

    /** {@code shared}: what all connections of the frontend share. */
    ClientConnection(Channel channel, FrontendContext shared) {
        this.channel = channel;
        this.shared = shared;
        this.unread = shared.receiveQueue.addSource(this);
    }

    /** Adds the handlers of a connection, this one last. */
    void addHandlers() {
        channel.pipeline().addLast(new AutoReadGate(), decoder, new HttpResponseEncoder(), new RequestFramingValidator(), aggregator,
                this);
    }

    /** Whether the connection is established. */
    boolean isActive() {
        return channel.isActive();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        account = shared.memory.budget().open("http_clients", this);
        shared.connections.add(entry);
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
        if (entry.state() == ClientConnections.State.CLOSING) {
            // It has its last answer.
            channel.close();
        } else if (requestIncomplete) {
            answerAndClose(HttpAnswers.refusal("too many connections", GIVEN_UP_WAIT_MS), CloseReason.EVICTED);
            channel.close();
        } else {
            close(shared.closing ? CloseReason.LAST_REQUEST : CloseReason.EVICTED);
        }
    }

    void close(CloseReason reason) {
        shared.closeCounts.add(reason);
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        shared.connections.remove(entry);
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
        shared.scheduleProcessing.run();
    }

    /**
     * Accounts for what this connection holds, and for what its eviction depends on. Only an incomplete request can be given up:
     * what was received after it or waits for its turn may be complete, and is owed an answer.
     */
    void updateAccounts() {
        long fixed = BYTES_PER_CONNECTION + unread.bytes() + HEAP_PER_ANSWER_BYTE * unsentAnswerBytes();
        long request = decoder.heapBytes() + aggregator.heapBytes();
        boolean incomplete = unread.isEmpty() && entry.state() != ClientConnections.State.CLOSING;
        shared.connections.update(entry);
        account.set(incomplete ? fixed : fixed + request, incomplete ? request : 0);
    }

    private long unsentAnswerBytes() {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes();
    }

    private void setState(ClientConnections.State next) {
        shared.connections.setState(entry, next);
        if (next == ClientConnections.State.CLOSING) {
            unread.clear();
        }
    }

    /**
     * Reads and processes the client's data, or leaves both for now. It waits while a poll has no answer, since answers must
     * have the order of their requests, and while the client does not read its answers. Once the last answer was decided,
     * reading is left as it is.
     */
    void updateReading() {
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
            shared.incompleteRequests += incomplete ? 1 : -1;
        }
    }

    /** Reads on after a pause if there are many incomplete requests: what comes meanwhile is then one read. */
    private void pace() {
        long micros = shared.incompleteRequests * PACE_MICROS_PER_INCOMPLETE;
        if (micros >= MIN_PACE_MICROS && !paced) {
            paced = true;
            shared.loop.schedule(() -> {
                paced = false;
                updateReading();
            }, micros, TimeUnit.MICROSECONDS);
        }
    }

    /**
     * Processes the oldest read, or some requests of it.
     *
     * @return the work that this was, see {@link HttpFrontend#WORK_PER_ITERATION}
     */
    int processTurn() throws Exception {
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
        setRequestIncomplete(false);
        updateAccounts();
    }

    private void bodyTooLarge() {
        answerAndClose(HttpAnswers.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 64 KiB"), CloseReason.TOO_LARGE);
    }

    /** Answers a request that was not read completely. The connection is closed after a short delay. */
    private void answerAndClose(FullHttpResponse answer, CloseReason reason) {
        shared.closeCounts.add(reason);
        setState(ClientConnections.State.CLOSING);
        channel.config().setAutoRead(false);
        headers.discard();
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
        if (shared.accepted.contains(this, "")) {
            // Answers must have the order of the requests on the connection.
            shared.accepted.answer();
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
            FullHttpResponse health = HttpAnswers.of(shared.intake.ready() ? HttpResponseStatus.OK
                    : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
            if (shared.extensions.reconnectMs() >= 0) {
                health.headers().set("X-Reconnect-Within-Ms", shared.extensions.reconnectMs());
            }
            send(request, health);
        } else if (path.equals("/ends") && shared.extensions.polling().isPresent()) {
            poll(request, shared.extensions.polling().get());
        } else if (!shared.intake.knowsClass(path.split("/", 3).length > 1 ? path.split("/", 3)[1] : "")) {
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
            submission = shared.parser.parse(request, path.split("/", 3)[1]);
        } catch (BadInput bad) {
            send(request, HttpResponseStatus.BAD_REQUEST, bad.getMessage());
            return;
        }
        // The answer about an id must reflect the journal, so a pending write of the same id comes first.
        String id = submission.id();
        if (shared.accepted.contains(this, id)) {
            shared.accepted.answer();
        }
        Optional<MessageIntake.DuplicateState> duplicate = Optional.empty();
        for (AnswerRecipient recipient : submission.recipients()) {
            duplicate = shared.intake.checkDuplicate(id, recipient);
        }
        if (duplicate.isPresent()) {
            send(request, duplicate.get() == MessageIntake.DuplicateState.UNDELIVERED ? HttpResponseStatus.CONFLICT
                    : HttpResponseStatus.ACCEPTED, "");
            return;
        }
        if (!shared.intake.knowsDestination(submission.destination())) {
            send(request, HttpResponseStatus.SERVICE_UNAVAILABLE, "no list names this dest");
            return;
        }
        hasSubmitted = true;
        if (entry.state() == ClientConnections.State.IDLE_LOW_PRIORITY) {
            setState(ClientConnections.State.IDLE);
        }
        MessageIntake.SubmissionResult result = shared.intake.submit(submission);
        if (result.message().isPresent()) {
            shared.accepted.add(this, result.message().get(), HttpUtil.isKeepAlive(request));
        } else {
            send(request, HttpAnswers.refusal(result, shared.extensions.waitScope()));
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
        if (shared.connections.count(ClientConnections.State.POLLING) >= shared.maxPolls) {
            send(request, HttpResponseStatus.SERVICE_UNAVAILABLE, "too many follow");
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        // Its client has submitted messages, maybe on another connection.
        requestsWithoutSubmission = 0;
        setState(ClientConnections.State.POLLING);
        updateReading();
        String waitMs = parameter(query, "wait_ms");
        poll = polling.poll(peer, parameter(query, "after"), waitMs.isEmpty() ? 0 : Long.parseLong(waitMs), lines -> {
            poll = null;
            setState(ClientConnections.State.IDLE);
            updateReading();
            shared.scheduleProcessing.run();
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

    ChannelFuture send(boolean keepAlive, FullHttpResponse answer) {
        if (!shared.closing && keepAlive) {
            return channel.writeAndFlush(answer);
        }
        shared.closeCounts.add(CloseReason.LAST_REQUEST);
        setState(ClientConnections.State.CLOSING);
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        updateReading();
        updateAccounts();
        shared.scheduleProcessing.run();
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

package slipfield.front.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.PreferHeapByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import slipfield.config.Config;
import slipfield.core.AnswerPolling;
import slipfield.core.Frontend;
import slipfield.core.MessageIntake;
import slipfield.log.Log;
import slipfield.log.LoggedTask;
import slipfield.memory.MemoryGuard;
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
    private static final long SWEEP_MS = 200;
    /** The number of reads from one connection before the event loop continues with the next one. */
    private static final int READS_PER_CONNECTION = 16;
    /**
     * Limit on the work that is done for clients in one event-loop iteration, in units of about a microsecond: a turn of a
     * connection is one, and so is a part of a request. Many requests at once would otherwise delay other work, since the final
     * answers, notices and calls of an iteration are sent before the next reads are processed. Hundreds of clients that send
     * single octets have to fit in, since others wait for their turn.
     */
    static final int WORK_PER_ITERATION = 512;
    /** Limit on the bytes of one read: it also limits the work, and with all connections the memory, that reads can cause. */
    static final int MAX_READ_BYTES = 8 * 1024;
    /** A client is read on once less than this is left of its answers; no answer but those of polls is larger. */
    private static final int LOW_WATER_BYTES = 4 * 1024;
    /** A client is not read while more than this is left of its answers. */
    private static final int HIGH_WATER_BYTES = 8 * 1024;
    /** Time between two logs of the closed connections and of the memory that clients hold. */
    private static final long REPORT_MS = 5000;
    /** The share of the memory budget, as a divisor, from which on only connections without received data are read. */
    private static final int BUDGET_PER_UNREAD_DATA = 6;

    private final EventLoop loop;
    private final FrontendContext shared;
    private final InetSocketAddress address;
    private final ServerBootstrap bootstrap;
    /** Null unless the sender is traced. */
    private Trace trace;
    private AcceptLoop acceptLoop;
    private ListenerChannel listener;
    /** Whether established connections may still wait to be accepted. */
    private boolean accepting;
    /** Whether {@link #processReads} will run. */
    private boolean processingScheduled;

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
        this.shared = new FrontendContext(loop, intake, extensions, maxClients, memory, maxUnreadBytes, this::scheduleProcessing);
        this.address = address;
        this.loop = loop;
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
                        new ClientConnection(channel, shared).addHandlers();
                    }
                });
    }

    /** Records the CPU time of processing requests from now on. */
    public void setTrace(Trace newTrace) {
        trace = newTrace;
    }

    /** Processes requests on an in-memory connection, without a socket, so that the code on their path is loaded and compiled. */
    public void warmUp(byte[] requests) {
        EmbeddedChannel memory = new EmbeddedChannel();
        new ClientConnection(memory, shared).addHandlers();
        memory.pipeline().fireChannelActive();
        memory.writeInbound(Unpooled.wrappedBuffer(requests));
        while (shared.receiveQueue.hasReady()) {
            processReads();
        }
        memory.finishAndReleaseAll();
    }

    @Override
    public InetSocketAddress listen() throws IOException {
        loop.scheduleWithFixedDelay(LoggedTask.of("front.sweep", shared.connections::sweep), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
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
        shared.closing = true;
        shared.connections.startClosing();
        shared.extensions.polling().ifPresent(AnswerPolling::release);
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
        shared.connections.closeIdle();
    }

    /** The memory of the received data that is not decoded yet, in bytes. Called on the event loop. */
    long unreadBytes() {
        return shared.receiveQueue.bytes();
    }

    private void report() {
        shared.closeCounts.report();
        shared.memory.report();
    }

    private void scheduleProcessing() {
        if (!processingScheduled && shared.receiveQueue.hasReady()) {
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
                ReceiveQueue<ClientConnection>.Source next = shared.receiveQueue.beginTurn();
                if (next == null) {
                    break;
                }
                work += processRead(next);
            }
            shared.accepted.answer();
        } finally {
            if (trace != null) {
                trace.leave();
            }
            processingScheduled = shared.receiveQueue.hasReady();
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
        if (!client.isActive()) {
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
            shared.receiveQueue.endTurn(source);
            client.updateReading();
            client.updateAccounts();
        }
        shared.memory.enforce();
        return work;
    }

    @Override
    public int openConnections() {
        return shared.connections.size();
    }

    @Override
    public boolean accepting() {
        return accepting;
    }
}

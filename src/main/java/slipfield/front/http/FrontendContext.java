package slipfield.front.http;

import io.netty.channel.EventLoop;
import slipfield.core.MessageIntake;
import slipfield.memory.MemoryGuard;

/** What the connections of a frontend share. Used on its event loop only. */
final class FrontendContext {
    /** The limit on connections divided by this is the limit on concurrent polls for final answers. */
    private static final int CONNECTIONS_PER_POLL = 4;
    /** Limit on the received data of one connection that is not decoded yet: a largest request with its header. */
    private static final int MAX_UNREAD_BYTES_PER_CONNECTION = ClientConnection.MAX_BODY_BYTES + HttpFrontend.MAX_READ_BYTES;

    final EventLoop loop;
    final MessageIntake intake;
    final HttpFrontend.Extensions extensions;
    final SubmissionParser parser;
    final ClientConnections connections;
    final ReceiveQueue<ClientConnection> receiveQueue;
    final AcceptedMessages accepted;
    final MemoryGuard memory;
    final CloseCounts closeCounts = new CloseCounts();
    /** Has received data processed, if there is any. */
    final Runnable scheduleProcessing;
    /** The limit on concurrent polls for final answers. */
    final int maxPolls;
    /** Whether each connection is closed with its next answer. */
    boolean closing;
    /** The number of connections whose request is incomplete after a turn. */
    int incompleteRequests;

    FrontendContext(EventLoop loop, MessageIntake intake, HttpFrontend.Extensions extensions, int maxClients, MemoryGuard memory,
            long maxUnreadBytes, Runnable scheduleProcessing) {
        this.loop = loop;
        this.intake = intake;
        this.extensions = extensions;
        this.parser = new SubmissionParser(intake, extensions.polling());
        this.memory = memory;
        this.scheduleProcessing = scheduleProcessing;
        this.accepted = new AcceptedMessages(intake);
        this.receiveQueue = new ReceiveQueue<>(maxUnreadBytes, MAX_UNREAD_BYTES_PER_CONNECTION);
        // Half of the budget is left for what clients send.
        long fitting = Math.max(1, memory.budget().limitBytes() / 2 / ClientConnection.BYTES_PER_CONNECTION);
        int limit = (int) Math.min(maxClients, fitting);
        this.connections = new ClientConnections(limit);
        this.maxPolls = Math.max(1, limit / CONNECTIONS_PER_POLL);
    }
}

package slipfield.outcome;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import slipfield.agent.AgentClient;
import slipfield.core.AnswerChannel;
import slipfield.journal.PendingMessage;
import slipfield.journal.PendingAnswer;
import slipfield.log.Log;

/**
 * Notifies the platform of messages that ended undelivered; each notice is sent again until it is acknowledged. A duplicate
 * notice is harmless, but a message whose notice never arrives is lost. The notices of an event-loop iteration are sent by
 * {@link #flush} in one batch, before the calls of that iteration. While a batch is unanswered, the next one uses another
 * connection, so that no notice waits for the answer to an earlier one: on a loop that is late, each answer takes another
 * iteration.
 */
public final class PlatformNotices implements AnswerChannel {
    private static final int MAX_IN_BATCH = 1000;
    /** Less than the 64 KiB to which a body is limited. */
    private static final int MAX_BATCH_CHARS = 60_000;
    private static final int MAX_CONNECTIONS = 4;
    private static final long TIMEOUT_MS = 500;
    private static final long RETRY_PAUSE_MS = 50;

    private final EventLoop loop;
    private Supplier<AgentClient> agents;
    private final Consumer<PendingAnswer> acknowledged;
    private final ObjectMapper json = JsonMapper.builder().build();
    /** Notices that are in no unanswered batch. */
    private final Deque<PendingAnswer> queue = new ArrayDeque<>();
    private final List<Connection> connections = new ArrayList<>();
    private int maxInBatch = MAX_IN_BATCH;

    /** A connection with its unanswered batch, and whether it pauses after a failure. */
    private static final class Connection {
        private final AgentClient agent;
        private List<PendingAnswer> batch = List.of();
        private boolean paused;

        Connection(AgentClient agent) {
            this.agent = agent;
        }
    }

    public PlatformNotices(EventLoop loop, Supplier<AgentClient> agents, Consumer<PendingAnswer> acknowledged) {
        this.loop = loop;
        this.agents = agents;
        this.acknowledged = acknowledged;
    }

    @Override
    public void enqueue(PendingAnswer answer) {
        queue.add(answer);
    }

    /** Sends pending notices while there is a connection without an unanswered batch. */
    @Override
    public void flush() {
        while (!queue.isEmpty()) {
            Connection connection = freeConnection();
            if (connection == null) {
                return;
            }
            send(connection);
        }
    }

    private Connection freeConnection() {
        for (Connection connection : connections) {
            if (connection.batch.isEmpty() && !connection.paused) {
                return connection;
            }
        }
        if (connections.size() == MAX_CONNECTIONS) {
            return null;
        }
        Connection added = new Connection(agents.get());
        connections.add(added);
        return added;
    }

    /** Sends notices to another agent from now on, also those that the old one has not acknowledged. */
    public void switchAgent(Supplier<AgentClient> newAgents) {
        agents = newAgents;
        for (Connection connection : connections) {
            connection.agent.close();
            requeue(connection);
        }
        connections.clear();
        flush();
    }

    private void requeue(Connection connection) {
        for (int i = connection.batch.size() - 1; i >= 0; i--) {
            queue.addFirst(connection.batch.get(i));
        }
        connection.batch = List.of();
    }

    @Override
    public int pendingCount() {
        int unanswered = 0;
        for (Connection connection : connections) {
            unanswered += connection.batch.size();
        }
        return queue.size() + unanswered;
    }

    private void send(Connection connection) {
        List<PendingAnswer> batch = new ArrayList<>();
        StringBuilder lines = new StringBuilder();
        while (!queue.isEmpty() && batch.size() < maxInBatch) {
            String line = line(queue.peek());
            if (lines.length() + line.length() > MAX_BATCH_CHARS) {
                break;
            }
            batch.add(queue.remove());
            lines.append(line).append('\n');
        }
        connection.batch = batch;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                "/reports", Unpooled.copiedBuffer(lines, StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson");
        connection.agent.send(request, TIMEOUT_MS, answer -> answered(connection, answer));
    }

    private String line(PendingAnswer answer) {
        PendingMessage message = answer.message();
        PendingMessage.Notice notice = message.pendingNotice.orElseThrow();
        boolean refused = notice.answer() == PendingMessage.FinalAnswer.REFUSED;
        ObjectNode line = json.createObjectNode();
        line.put("ref", message.id);
        line.put("result", refused ? "bounced" : "dead");
        if (refused && notice.waitMs() > 0) {
            line.put("wait_ms", Math.round(notice.waitMs()));
        }
        return line.toString();
    }

    private void answered(Connection connection, Optional<FullHttpResponse> answer) {
        int status = answer.map(a -> a.status().code()).orElse(0);
        if (status == 204) {
            List<PendingAnswer> sent = connection.batch;
            connection.batch = List.of();
            maxInBatch = MAX_IN_BATCH;
            sent.forEach(acknowledged);
            flush();
            return;
        }
        requeue(connection);
        if (status == 400) {
            // An unreadable notice must not block the newAgents: they are sent one by one, and the first one last.
            Log.warn("notices.refused", "status", 400);
            maxInBatch = 1;
            queue.addLast(queue.removeFirst());
        }
        connection.paused = true;
        loop.schedule(() -> {
            connection.paused = false;
            flush();
        }, RETRY_PAUSE_MS, TimeUnit.MILLISECONDS);
    }
}

package slipfield.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import slipfield.client.decide.End;

/**
 * Fetches the final answers of accepted orders by a long poll at each sender. The cursor of a poll acknowledges the answers
 * before it; a sender repeats the others, also after its restart. A duplicate answer is harmless. (docs/operate/client.md)
 */
final class FinalAnswerPoller implements SenderConnection.Listener {
    /** Header of a submission: the name of the client that will fetch the final answer. */
    static final String CLIENT_HEADER = "X-Ends-To";
    private static final Logger LOG = LoggerFactory.getLogger(FinalAnswerPoller.class);
    /** How long a sender may hold a poll open. */
    private static final long POLL_WAIT_MS = 5000;
    private static final long RESPONSE_TIMEOUT_MS = POLL_WAIT_MS + 3000;
    private static final long RECONNECT_DELAY_MS = 50;

    /** Receives the final answers of orders. */
    interface AnswerListener {
        void answered(long number, int attempt, End end);
    }

    /** A submission whose final answer is expected. */
    private record ExpectedAnswer(long number, int attempt) {
    }

    private final String client;
    private final EventLoop loop;
    private final Consumer<SenderConnection> connect;
    private final AnswerListener listener;
    private final JsonMapper json = JsonMapper.builder().build();
    /** By call id. */
    private final Map<String, ExpectedAnswer> expected = new HashMap<>();
    /** The submissions of each order, by order number and call id. */
    private final Map<Long, Map<String, ExpectedAnswer>> callsByOrder = new HashMap<>();
    private final Map<String, SenderConnection> connections = new HashMap<>();
    private final Map<String, String> cursors = new HashMap<>();
    private boolean closed;

    FinalAnswerPoller(String client, EventLoop loop, Consumer<SenderConnection> connect, AnswerListener listener) {
        this.client = URLEncoder.encode(client, StandardCharsets.UTF_8);
        this.loop = loop;
        this.connect = connect;
        this.listener = listener;
    }

    /** A submission with this call id is about to be sent. */
    void expect(String call, long number, int attempt) {
        ExpectedAnswer answer = new ExpectedAnswer(number, attempt);
        expected.put(call, answer);
        callsByOrder.computeIfAbsent(number, n -> new HashMap<>()).put(call, answer);
    }

    /** The order has its final answer: answers to its submissions are ignored from now on. */
    void forget(long number) {
        Map<String, ExpectedAnswer> answers = callsByOrder.remove(number);
        if (answers != null) {
            expected.keySet().removeAll(answers.keySet());
        }
    }

    /** Starts to poll this sender unless it is polled already. */
    void startPolling(String sender) {
        if (!closed && !connections.containsKey(sender)) {
            SenderConnection connection = new SenderConnection(sender, this);
            connections.put(sender, connection);
            connect.accept(connection);
        }
    }

    @Override
    public void opened(SenderConnection connection) {
        poll(connection);
    }

    private void poll(SenderConnection connection) {
        connection.get("/ends?client=" + client + "&after=" + cursors.getOrDefault(connection.sender, "")
                + "&wait_ms=" + POLL_WAIT_MS, RESPONSE_TIMEOUT_MS);
    }

    @Override
    public void responded(SenderConnection connection, FullHttpResponse response, boolean keepAlive) {
        if (response.status().code() == 200) {
            for (String line : response.content().toString(StandardCharsets.UTF_8).split("\n")) {
                if (!line.isEmpty() && !handleLine(connection.sender, line)) {
                    // The next poll requests the lines after the last good one again.
                    break;
                }
            }
        } else {
            LOG.warn("ends.not_told sender={} status={}", connection.sender, response.status().code());
        }
        if (keepAlive && response.status().code() == 200) {
            poll(connection);
        } else {
            connection.close();
            closed(connection, false, "");
        }
    }

    private boolean handleLine(String sender, String line) {
        JsonNode end;
        try {
            end = json.readTree(line);
        } catch (JsonProcessingException e) {
            LOG.warn("ends.unreadable sender={} cause={}", sender, e.getOriginalMessage());
            return false;
        }
        if (!end.path("cursor").isTextual()) {
            return false;
        }
        cursors.put(sender, end.path("cursor").asText());
        ExpectedAnswer answer = expected.get(end.path("ref").asText());
        if (answer != null) {
            switch (end.path("end").asText()) {
                case "delivered" -> listener.answered(answer.number, answer.attempt, new End.Delivered());
                case "refused" -> listener.answered(answer.number, answer.attempt,
                        new End.Refused(Math.max(0, end.path("wait_ms").asLong()), "refused by the sender after acceptance"));
                case "failed" -> listener.answered(answer.number, answer.attempt,
                        new End.Failed(true, "the sender reported that delivery failed"));
                default -> LOG.warn("ends.unknown sender={} end={}", sender, end.path("end"));
            }
        }
        return true;
    }

    @Override
    public void closed(SenderConnection connection, boolean written, String reason) {
        connections.remove(connection.sender, connection);
        if (!closed && !expected.isEmpty()) {
            loop.schedule(() -> startPolling(connection.sender), RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    void close() {
        closed = true;
        connections.values().forEach(SenderConnection::close);
        connections.clear();
    }
}

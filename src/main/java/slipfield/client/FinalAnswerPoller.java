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
 * Follows the ends of orders that senders have taken: a long poll at each, whose cursor says what was heard. What was not
 * heard is told again, also by a sender's next life; an end that is told twice does no harm. (docs/operate/client.md)
 */
final class FinalAnswerPoller implements SenderConnection.Listener {
    /** On a hand-in: who follows its end. */
    static final String CLIENT_HEADER = "X-Ends-To";
    private static final Logger LOG = LoggerFactory.getLogger(FinalAnswerPoller.class);
    private static final long POLL_WAIT_MS = 5000;
    private static final long RESPONSE_TIMEOUT_MS = POLL_WAIT_MS + 3000;
    private static final long RECONNECT_DELAY_MS = 50;

    /** Told of an order's end. */
    interface AnswerListener {
        void answered(long number, int attempt, End end);
    }

    private record ExpectedAnswer(long number, int attempt) {
    }

    private final String client;
    private final EventLoop loop;
    private final Consumer<SenderConnection> connect;
    private final AnswerListener listener;
    private final JsonMapper json = JsonMapper.builder().build();
    private final Map<String, ExpectedAnswer> expected = new HashMap<>();
    /** The hand-ins of each order, to forget them by. */
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

    /** A hand-in under this call id is about to go out. */
    void expect(String call, long number, int attempt) {
        ExpectedAnswer one = new ExpectedAnswer(number, attempt);
        expected.put(call, one);
        callsByOrder.computeIfAbsent(number, n -> new HashMap<>()).put(call, one);
    }

    /** The order has its end. */
    void forget(long number) {
        Map<String, ExpectedAnswer> answers = callsByOrder.remove(number);
        if (answers != null) {
            expected.keySet().removeAll(answers.keySet());
        }
    }

    /** The sender answers: it is followed from now on, if it is not yet. */
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
                    // What lies behind it is asked for again.
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
                        new End.Refused(Math.max(0, end.path("wait_ms").asLong()), "the sender gave it back"));
                case "failed" -> listener.answered(answer.number, answer.attempt, new End.Failed(true, "the sender gave it up"));
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

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
final class Follower implements Link.Owner {
    /** On a hand-in: who follows its end. */
    static final String TO = "X-Ends-To";
    private static final Logger LOG = LoggerFactory.getLogger(Follower.class);
    private static final long WAIT_MS = 5000;
    private static final long ANSWER_MS = WAIT_MS + 3000;
    private static final long PAUSE_MS = 50;

    /** Told of an order's end. */
    interface Told {
        void ended(long number, int attempt, End end);
    }

    private record Wanted(long number, int attempt) {
    }

    private final String client;
    private final EventLoop loop;
    private final Consumer<Link> connect;
    private final Told told;
    private final JsonMapper json = JsonMapper.builder().build();
    private final Map<String, Wanted> wanted = new HashMap<>();
    /** The hand-ins of each order, to forget them by. */
    private final Map<Long, Map<String, Wanted>> calls = new HashMap<>();
    private final Map<String, Link> feeds = new HashMap<>();
    private final Map<String, String> cursors = new HashMap<>();
    private boolean closed;

    Follower(String client, EventLoop loop, Consumer<Link> connect, Told told) {
        this.client = URLEncoder.encode(client, StandardCharsets.UTF_8);
        this.loop = loop;
        this.connect = connect;
        this.told = told;
    }

    /** A hand-in under this call id is about to go out. */
    void expect(String call, long number, int attempt) {
        Wanted one = new Wanted(number, attempt);
        wanted.put(call, one);
        calls.computeIfAbsent(number, n -> new HashMap<>()).put(call, one);
    }

    /** The order has its end. */
    void over(long number) {
        Map<String, Wanted> of = calls.remove(number);
        if (of != null) {
            wanted.keySet().removeAll(of.keySet());
        }
    }

    /** The sender answers: it is followed from now on, if it is not yet. */
    void up(String sender) {
        if (!closed && !feeds.containsKey(sender)) {
            Link feed = new Link(sender, this);
            feeds.put(sender, feed);
            connect.accept(feed);
        }
    }

    @Override
    public void up(Link feed) {
        poll(feed);
    }

    private void poll(Link feed) {
        feed.get("/ends?client=" + client + "&after=" + cursors.getOrDefault(feed.sender, "") + "&wait_ms=" + WAIT_MS,
                ANSWER_MS);
    }

    @Override
    public void answered(Link feed, FullHttpResponse answer, boolean stays) {
        if (answer.status().code() == 200) {
            for (String line : answer.content().toString(StandardCharsets.UTF_8).split("\n")) {
                if (!line.isEmpty() && !read(feed.sender, line)) {
                    // What lies behind it is asked for again.
                    break;
                }
            }
        } else {
            LOG.warn("ends.not_told sender={} status={}", feed.sender, answer.status().code());
        }
        if (stays && answer.status().code() == 200) {
            poll(feed);
        } else {
            feed.close();
            gone(feed, false, "");
        }
    }

    private boolean read(String sender, String line) {
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
        Wanted of = wanted.get(end.path("ref").asText());
        if (of != null) {
            switch (end.path("end").asText()) {
                case "delivered" -> told.ended(of.number, of.attempt, new End.Delivered());
                case "refused" -> told.ended(of.number, of.attempt,
                        new End.Refused(Math.max(0, end.path("wait_ms").asLong()), "the sender gave it back"));
                case "failed" -> told.ended(of.number, of.attempt, new End.Failed(true, "the sender gave it up"));
                default -> LOG.warn("ends.unknown sender={} end={}", sender, end.path("end"));
            }
        }
        return true;
    }

    @Override
    public void gone(Link feed, boolean written, String why) {
        feeds.remove(feed.sender, feed);
        if (!closed && !wanted.isEmpty()) {
            loop.schedule(() -> up(feed.sender), PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    void close() {
        closed = true;
        feeds.values().forEach(Link::close);
        feeds.clear();
    }
}

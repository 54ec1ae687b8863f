package kestreldeal.net;

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
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Notices to the platform of messages that ended undelivered: one batch at a time, each sent again until it
 * was heard. Hearing one twice does no harm; one that is not heard is a lost message. What a turn has ended is
 * written by {@link #flush}, before that turn's calls.
 */
final class Notices {
    private static final int MOST_IN_BATCH = 1000;
    /** A body holds 64 KiB at most. */
    private static final int LONGEST_BATCH = 60_000;
    private static final long LIMIT_MS = 500;
    private static final long PAUSE_MS = 50;

    private final EventLoop loop;
    private Agent agent;
    private final Consumer<Held> heard;
    private final ObjectMapper json = JsonMapper.builder().build();
    private final Deque<Held> owed = new ArrayDeque<>();
    private int most = MOST_IN_BATCH;
    private boolean asked;
    /** The rest after a batch that was not heard, if there is one. */
    private Optional<Future<?>> next = Optional.empty();

    Notices(EventLoop loop, Agent agent, Consumer<Held> heard) {
        this.loop = loop;
        this.agent = agent;
        this.heard = heard;
    }

    /** Owes the platform this message's notice, from the next {@link #flush} on. */
    void owe(Held held) {
        owed.add(held);
    }

    /** Sends what is owed, unless a batch is out or rests: then it goes with the next one. */
    void flush() {
        if (!asked && !owed.isEmpty()) {
            asked = true;
            post();
        }
    }

    /** Tells another agent from now on, at once, also what the old one was told and has not answered. */
    void moveTo(Agent other) {
        agent.close();
        agent = other;
        if (asked) {
            next.ifPresent(n -> n.cancel(false));
            post();
        }
    }

    /** Notices that were not heard yet. */
    int owed() {
        return owed.size();
    }

    private void post() {
        List<Held> batch = new ArrayList<>();
        StringBuilder lines = new StringBuilder();
        for (Held held : owed) {
            String line = line(held);
            if (batch.size() == most || lines.length() + line.length() > LONGEST_BATCH) {
                break;
            }
            batch.add(held);
            lines.append(line).append('\n');
        }
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                "/reports", Unpooled.copiedBuffer(lines, StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson");
        agent.ask(request, LIMIT_MS, answer -> answered(batch, answer));
    }

    private String line(Held held) {
        Held.Notice notice = held.owed.orElseThrow();
        ObjectNode line = json.createObjectNode();
        line.put("ref", held.id);
        line.put("result", notice.bounced() ? "bounced" : "dead");
        if (notice.bounced() && notice.waitMs() > 0) {
            line.put("wait_ms", Math.round(notice.waitMs()));
        }
        return line.toString();
    }

    private void answered(List<Held> batch, Optional<FullHttpResponse> answer) {
        int status = answer.map(a -> a.status().code()).orElse(0);
        if (status == 204) {
            // Only what is behind them was added since.
            batch.forEach(told -> owed.remove());
            most = MOST_IN_BATCH;
            batch.forEach(heard);
        } else if (status == 400) {
            // One that can't be read must not hold up the rest: they go one by one, and it goes last.
            Log.line("a batch of " + batch.size() + " notices was answered 400");
            most = 1;
            owed.addLast(owed.removeFirst());
        }
        asked = !owed.isEmpty();
        if (asked && status == 204) {
            post();
        } else if (asked) {
            next = Optional.of(loop.schedule(this::post, PAUSE_MS, TimeUnit.MILLISECONDS));
        }
    }
}

package slipfield.directory.consul;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import slipfield.agent.AgentClient;
import slipfield.config.BadInput;

/**
 * A blocking query that is asked for ever: one connection, one question at a time, one agent after the other where they
 * fail. Consul's pages "Blocking Queries" and "Consistency Modes".
 */
final class BlockingQuery {
    /** An answer that is so much later than its wait will not come. */
    private static final long ANSWER_MS = 400;
    /** A whole list may be megabytes, read on a core that has other work. */
    private static final long WHOLE_MS = 1000;
    /** Consul adds up to a sixteenth to each wait. */
    private static final int JITTER = 16;
    private static final long LEAST_PAUSE_MS = 50;
    private static final long MOST_PAUSE_MS = 1000;
    /** Between questions that can't block. */
    private static final long UNBLOCKED_PAUSE_MS = 200;

    /** Is told what was answered, on the watch's loop. */
    interface Listener {
        /** A list that may be new; an error says that it is of another shape. */
        void read(JsonNode answer) throws BadInput;

        /** Nothing is new. */
        void same();

        /** No agent could be asked; what stands is the last list. */
        void failed(String why);
    }

    private final EventLoop loop;
    private final AgentAccess access;
    private final String path;
    /** What an answer begins with. An answer whose index is not new is read no further than that. */
    private final char opening;
    /**
     * A filter that nothing passes: a blocking query with it has the index of the whole list and none of its bytes, so
     * that the list is read when it has changed, and not with each wait that ends. Empty: the list itself is waited for.
     */
    private final String nothing;
    private final Listener listener;
    private final ObjectMapper json = JsonMapper.builder().build();
    private final BlockingIndex index;
    private AgentClient agent;
    private int asked;
    private int failures;
    /** What is asked now is whether anything has changed. */
    private boolean probing;
    /** Something has: the whole list is asked for next. */
    private boolean look;
    private boolean stopped;

    BlockingQuery(EventLoop loop, AgentAccess access, String path, char opening, String nothing, Listener listener) {
        this.loop = loop;
        this.access = access;
        this.path = path;
        this.opening = opening;
        this.nothing = nothing;
        this.listener = listener;
        this.index = new BlockingIndex(access.settings().mostStaleMs(), access.settings().agents().size() + 1);
    }

    void start() {
        agent = access.agent(loop, asked);
        ask();
    }

    void stop() {
        stopped = true;
        agent.close();
    }

    private void ask() {
        if (stopped) {
            return;
        }
        ConsulSettings settings = access.settings();
        QueryStringEncoder query = new QueryStringEncoder(path);
        access.scope(query);
        boolean blocks = index.index() > 0 && !look;
        probing = blocks && !nothing.isEmpty();
        String filter = probing ? nothing : settings.filter();
        if (!filter.isEmpty()) {
            query.addParam("filter", filter);
        }
        if (!settings.mode().equals("default")) {
            query.addParam(settings.mode(), "");
        }
        long limitMs = blocks ? ANSWER_MS : WHOLE_MS;
        if (blocks) {
            query.addParam("index", Long.toString(index.index()));
            query.addParam("wait", settings.waitMs() + "ms");
            limitMs += settings.waitMs() + settings.waitMs() / JITTER;
        }
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, query.toString());
        access.authorize(request);
        agent.send(request, limitMs, this::answered);
    }

    private void answered(Optional<FullHttpResponse> answer) {
        if (stopped) {
            return;
        }
        if (answer.isEmpty()) {
            fail("no whole answer in time");
            return;
        }
        FullHttpResponse response = answer.get();
        int code = response.status().code();
        if (code != 200) {
            if (code == 403) {
                access.refused();
            }
            fail(switch (response.status().codeClass()) {
                case REDIRECTION -> "redirected to " + response.headers().get(HttpHeaderNames.LOCATION)
                        + ", which is not followed: name that agent itself";
                default -> code == 403 ? "403: the token does not allow it" : "answered " + code;
            });
            return;
        }
        ByteBuf body = response.content();
        if (!body.isReadable() || body.getByte(body.readerIndex()) != opening) {
            fail("its answer is of another shape: it does not begin with " + opening);
            return;
        }
        take(response);
    }

    private void take(FullHttpResponse response) {
        boolean blocked = index.index() > 0;
        String told = response.headers().get("X-Consul-Index");
        String leader = response.headers().get("X-Consul-KnownLeader");
        String contact = response.headers().get("X-Consul-LastContact");
        BlockingIndex.Verdict verdict = probing ? index.probed(told, leader, contact)
                : index.answered(told, leader, contact);
        look = probing && verdict == BlockingIndex.Verdict.TAKE;
        if (look) {
            ask();
            return;
        }
        switch (verdict) {
            case TAKE -> {
                try (InputStream in = new ByteBufInputStream(response.content())) {
                    listener.read(json.readTree(in));
                } catch (IOException | BadInput e) {
                    index.moved();
                    fail("its answer can't be read: " + e.getMessage());
                    return;
                }
                goOn(blocked);
            }
            case SAME -> {
                listener.same();
                goOn(blocked);
            }
            case RESET -> {
                // The same agent, if it is the only one.
                move();
                ask();
            }
            case STALE -> fail("its server has no leader or lags behind it");
        }
    }

    /** After an answer that counts; without an index the next question will not block. */
    private void goOn(boolean blocked) {
        failures = 0;
        if (index.index() > 0) {
            ask();
        } else {
            later(blocked ? LEAST_PAUSE_MS : UNBLOCKED_PAUSE_MS);
        }
    }

    private void move() {
        agent.close();
        index.moved();
        look = false;
        agent = access.agent(loop, ++asked);
    }

    /** The next agent at once; when all have failed, after a pause that grows, with jitter. */
    private void fail(String why) {
        String at = access.name(asked);
        failures++;
        move();
        int round = access.settings().agents().size();
        listener.failed(at + " " + why);
        if (failures % round != 0) {
            ask();
            return;
        }
        long pause = Math.min(MOST_PAUSE_MS, LEAST_PAUSE_MS << Math.min(10, failures / round - 1));
        later(pause / 2 + ThreadLocalRandom.current().nextLong(pause / 2 + 1));
    }

    private void later(long ms) {
        loop.schedule(this::ask, ms, TimeUnit.MILLISECONDS);
    }
}

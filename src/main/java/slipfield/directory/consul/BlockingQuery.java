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
 * Repeats a blocking query until stopped: one connection, one request at a time, and the next agent when one fails. See
 * Consul's documentation, "Blocking Queries" and "Consistency Modes".
 */
final class BlockingQuery {
    /** Time-out of a blocking query beyond its wait. */
    private static final long BLOCKING_TIMEOUT_MS = 400;
    /** Time-out of a query for a whole list, which may be megabytes and is read on a shared CPU core. */
    private static final long LIST_TIMEOUT_MS = 1000;
    /** Consul adds up to 1/16 of the wait as jitter. */
    private static final int JITTER = 16;
    private static final long MIN_PAUSE_MS = 50;
    private static final long MAX_PAUSE_MS = 1000;
    /** Pause between queries that can't block. */
    private static final long UNBLOCKED_PAUSE_MS = 200;

    /** Receives the results, on the query's event loop. */
    interface Listener {
        /** Handles a list that may have changed; throws if the list has an unexpected format. */
        void read(JsonNode answer) throws BadInput;

        /** Called when nothing has changed. */
        void same();

        /** Called when a query failed; the last list stays valid. */
        void failed(String why);
    }

    private final EventLoop loop;
    private final AgentAccess access;
    private final String path;
    /** First character of a valid answer. Of an answer with an unchanged index nothing more is read. */
    private final char opening;
    /**
     * A filter that matches nothing. A blocking query with it returns the index of the whole list without its content, so
     * that the list is transferred only after a change and not after each wait. Empty: the query returns the list itself.
     */
    private final String emptyFilter;
    private final Listener listener;
    private final ObjectMapper json = JsonMapper.builder().build();
    private final BlockingIndex index;
    private AgentClient agent;
    private int turn;
    private int failures;
    /** Whether the pending query is a probe: it uses the empty filter to find out if anything has changed. */
    private boolean probing;
    /** Whether a probe saw a change, so that the next query fetches the whole list. */
    private boolean fetchList;
    private boolean stopped;

    BlockingQuery(EventLoop loop, AgentAccess access, String path, char opening, String emptyFilter, Listener listener) {
        this.loop = loop;
        this.access = access;
        this.path = path;
        this.opening = opening;
        this.emptyFilter = emptyFilter;
        this.listener = listener;
        this.index = new BlockingIndex(access.settings().mostStaleMs(), access.settings().agents().size() + 1);
    }

    void start() {
        agent = access.agent(loop, turn);
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
        access.addScope(query);
        boolean blocks = index.index() > 0 && !fetchList;
        probing = blocks && !emptyFilter.isEmpty();
        String filter = probing ? emptyFilter : settings.filter();
        if (!filter.isEmpty()) {
            query.addParam("filter", filter);
        }
        if (!settings.mode().equals("default")) {
            query.addParam(settings.mode(), "");
        }
        long limitMs = blocks ? BLOCKING_TIMEOUT_MS : LIST_TIMEOUT_MS;
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
                access.tokenRefused();
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
            fail("its answer has an unexpected format: it does not begin with " + opening);
            return;
        }
        take(response);
    }

    private void take(FullHttpResponse response) {
        boolean blocked = index.index() > 0;
        String reportedIndex = response.headers().get("X-Consul-Index");
        String leader = response.headers().get("X-Consul-KnownLeader");
        String contact = response.headers().get("X-Consul-LastContact");
        BlockingIndex.Verdict verdict = probing ? index.probed(reportedIndex, leader, contact)
                : index.answered(reportedIndex, leader, contact);
        fetchList = probing && verdict == BlockingIndex.Verdict.TAKE;
        if (fetchList) {
            ask();
            return;
        }
        switch (verdict) {
            case TAKE -> {
                try (InputStream in = new ByteBufInputStream(response.content())) {
                    listener.read(json.readTree(in));
                } catch (IOException | BadInput e) {
                    index.reset();
                    fail("its answer can't be read: " + e.getMessage());
                    return;
                }
                scheduleNext(blocked);
            }
            case SAME -> {
                listener.same();
                scheduleNext(blocked);
            }
            case RESET -> {
                // Reconnects to the same agent if there is only one.
                switchAgent();
                ask();
            }
            case STALE -> fail("its server has no leader or lags behind it");
        }
    }

    /** Continues after a valid answer; without an index the next query does not block, so it is delayed. */
    private void scheduleNext(boolean blocked) {
        failures = 0;
        if (index.index() > 0) {
            ask();
        } else {
            askAfter(blocked ? MIN_PAUSE_MS : UNBLOCKED_PAUSE_MS);
        }
    }

    private void switchAgent() {
        agent.close();
        index.reset();
        fetchList = false;
        agent = access.agent(loop, ++turn);
    }

    /** Asks the next agent at once; after all have failed, waits with exponential backoff and jitter. */
    private void fail(String why) {
        String at = access.name(turn);
        failures++;
        switchAgent();
        int round = access.settings().agents().size();
        listener.failed(at + " " + why);
        if (failures % round != 0) {
            ask();
            return;
        }
        long pause = Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS << Math.min(10, failures / round - 1));
        askAfter(pause / 2 + ThreadLocalRandom.current().nextLong(pause / 2 + 1));
    }

    private void askAfter(long ms) {
        loop.schedule(this::ask, ms, TimeUnit.MILLISECONDS);
    }
}

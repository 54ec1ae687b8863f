package slipfield.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import slipfield.agent.AgentClient;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.core.Directory;
import slipfield.core.Sender;
import slipfield.fleet.DiscoveryBackoff;
import slipfield.log.Log;
import slipfield.trace.Flow;

/**
 * The list of endpoints: what the configuration knew, then the whole list, then a watch on what changes. It
 * is never waited for; while discovery is silent the last list stands.
 */
public final class Discovery implements Directory {
    /** A change counts as told 2 s after the end of a call's wait, so the wait is short. */
    private static final long WAIT_MS = 3000;
    /**
     * An answer that is so late will not come: the connection was cut, or discovery is down. One that has much to do
     * says so after 2 s; to give up before would leave it the work of a call that nobody waits for.
     */
    private static final long SILENT_MS = 2500;

    private static final Set<String> STATES = Set.of("SERVING", "DRAINING", "DELETED");

    private final EventLoop loop;
    private AgentClient agent;
    private final Optional<JsonNode> known;
    private final DiscoveryBackoff backoff;
    private EndpointListener lists;
    private final ObjectMapper json = JsonMapper.builder().build();
    private long generation = -1;
    private boolean silent;
    /** The pause before the next question, if there is one. */
    private Optional<Future<?>> pause = Optional.empty();

    /** {@code known}: the list that the configuration knew, if any; when it is asked again, {@code backoff} decides. */
    public Discovery(EventLoop loop, AgentClient agent, Optional<JsonNode> known, DiscoveryBackoff backoff) {
        this.loop = loop;
        this.agent = agent;
        this.known = known;
        this.backoff = backoff;
    }

    @Override
    public boolean fresh() {
        return generation >= 0;
    }

    /** Takes over what the configuration knew, if anything, and asks for the rest from now on. */
    @Override
    public void start(EndpointListener told) {
        lists = told;
        known.ifPresent(list -> take(list, true));
        ask("/v1/servers", 0);
    }

    /**
     * Asks another agent from now on. Its generations are of another reckoning, so it begins with the whole
     * list; what the old one might still say is not waited for.
     */
    public void switchAgent(AgentClient other) {
        agent.close();
        pause.ifPresent(p -> p.cancel(false));
        agent = other;
        generation = -1;
        watch();
    }

    private void ask(String path, long waitMs) {
        if (Sender.FLOW_ENABLED) {
            Flow.step("list_asked", path);
        }
        long asked = System.nanoTime();
        agent.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path), waitMs + SILENT_MS,
                answer -> answered(answer, (System.nanoTime() - asked) / 1e6 - waitMs));
    }

    private void answered(Optional<FullHttpResponse> answer, double tookMs) {
        if (Sender.FLOW_ENABLED) {
            Flow.step("list_answered", answer.map(a -> a.status().code() + " " + a.content().readableBytes()).orElse("none"));
        }
        boolean listed = answer.filter(a -> a.status().code() == 200).isPresent();
        boolean read = listed && read(answer.get());
        if (silent == read) {
            silent = !read;
            if (read) {
                Log.info("discovery.back");
            } else {
                Log.warn("discovery.away");
            }
        }
        long pauseMs = backoff.pause(read ? DiscoveryBackoff.Result.LIST
                : answer.isEmpty() ? DiscoveryBackoff.Result.NONE : listed ? DiscoveryBackoff.Result.UNUSABLE
                : DiscoveryBackoff.Result.REJECTED, tookMs);
        if (pauseMs == 0) {
            watch();
        } else {
            pause = Optional.of(loop.schedule(this::watch, pauseMs, TimeUnit.MILLISECONDS));
        }
    }

    /** Before the first answer the whole list is asked for: what was known may be of another reckoning. */
    private void watch() {
        if (generation < 0) {
            ask("/v1/servers", 0);
        } else {
            ask("/v1/servers?after=" + generation + "&wait_ms=" + WAIT_MS, WAIT_MS);
        }
    }

    private boolean read(FullHttpResponse answer) {
        try (InputStream in = new ByteBufInputStream(answer.content())) {
            JsonNode list = json.readTree(in);
            if (!list.path("generation").isIntegralNumber() || !list.path("instances").isArray()) {
                return false;
            }
            long told = list.path("generation").asLong();
            boolean whole = list.path("reset").asBoolean();
            if (!whole && told < generation) {
                // Changes from before what is known would undo it, a drain perhaps: the whole list settles it.
                Log.warn("discovery.older", "told", told, "known", generation);
                generation = -1;
                return false;
            }
            generation = told;
            take(list, whole);
            return true;
        } catch (IOException e) {
            Log.warn("discovery.unreadable", "cause", e);
            return false;
        }
    }

    private void take(JsonNode list, boolean whole) {
        List<Entry> entries = new ArrayList<>();
        for (JsonNode e : list.path("instances")) {
            try {
                String state = e.path("lifecycle").asText();
                entries.add(new Entry(e.path("instanceId").asText(),
                        Config.address(e.path("hostPort").asText()), e.path("zone").asText(),
                        e.path("machineType").asText(), e.path("cell").asLong(),
                        state.equals("SERVING"), e.path("weight").asDouble(), state.equals("DELETED")));
                if (!STATES.contains(state)) {
                    // Nothing new goes there: it may mean that it must not.
                    Log.warn("discovery.state_unknown", "endpoint", e.path("instanceId").asText(), "state", state);
                }
            } catch (BadInput bad) {
                Log.warn("discovery.entry_unreadable", "cause", bad.getMessage());
            }
        }
        if (whole || !entries.isEmpty()) {
            lists.endpointsChanged(whole, entries);
        }
    }
}

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
 * The platform's endpoint list. Starts with the list from the configuration, if any, then fetches the whole list from the
 * agent and long-polls for changes. Nothing blocks on it; while discovery doesn't answer, the last list stays in use.
 */
public final class Discovery implements Directory {
    /** Wait of a long poll. Short, because a change counts as reported 2 s after the end of a call's wait. */
    private static final long WAIT_MS = 3000;
    /**
     * Time-out of an answer beyond its wait; after it the connection is assumed cut or discovery down. An overloaded
     * discovery answers with an error after 2 s; a shorter time-out would leave it working on an abandoned call.
     */
    private static final long TIMEOUT_MS = 2500;

    private static final Set<String> STATES = Set.of("SERVING", "DRAINING", "DELETED");

    private final EventLoop loop;
    private AgentClient agent;
    private final Optional<JsonNode> known;
    private final DiscoveryBackoff backoff;
    private EndpointListener listener;
    private final ObjectMapper json = JsonMapper.builder().build();
    private long generation = -1;
    private boolean unavailable;
    /** The scheduled next request, if one is waiting for its pause to pass. */
    private Optional<Future<?>> pause = Optional.empty();

    /**
     * Creates the directory; sends nothing yet.
     *
     * @param known the list from the configuration, if any
     * @param backoff decides when discovery is asked again
     */
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

    /** Reports the list from the configuration, if any, and begins to fetch the list from the agent. */
    @Override
    public void start(EndpointListener listener) {
        this.listener = listener;
        known.ifPresent(list -> report(list, true));
        request("/v1/servers", 0);
    }

    /**
     * Switches to another agent. Generations of different agents can't be compared, so the whole list is fetched first;
     * a pending answer of the previous agent is dropped.
     */
    public void switchAgent(AgentClient other) {
        agent.close();
        pause.ifPresent(p -> p.cancel(false));
        agent = other;
        generation = -1;
        poll();
    }

    private void request(String path, long waitMs) {
        if (Sender.FLOW_ENABLED) {
            Flow.step("list_asked", path);
        }
        long sentNanos = System.nanoTime();
        agent.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path), waitMs + TIMEOUT_MS,
                answer -> onAnswer(answer, (System.nanoTime() - sentNanos) / 1e6 - waitMs));
    }

    private void onAnswer(Optional<FullHttpResponse> answer, double tookMs) {
        if (Sender.FLOW_ENABLED) {
            Flow.step("list_answered", answer.map(a -> a.status().code() + " " + a.content().readableBytes()).orElse("none"));
        }
        boolean ok = answer.filter(a -> a.status().code() == 200).isPresent();
        boolean read = ok && read(answer.get());
        if (unavailable == read) {
            unavailable = !read;
            if (read) {
                Log.info("discovery.back");
            } else {
                Log.warn("discovery.away");
            }
        }
        long pauseMs = backoff.pause(read ? DiscoveryBackoff.Result.LIST
                : answer.isEmpty() ? DiscoveryBackoff.Result.NONE : ok ? DiscoveryBackoff.Result.UNUSABLE
                : DiscoveryBackoff.Result.REJECTED, tookMs);
        if (pauseMs == 0) {
            poll();
        } else {
            pause = Optional.of(loop.schedule(this::poll, pauseMs, TimeUnit.MILLISECONDS));
        }
    }

    /** Long-polls for changes, or fetches the whole list while no generation of this agent is known. */
    private void poll() {
        if (generation < 0) {
            request("/v1/servers", 0);
        } else {
            request("/v1/servers?after=" + generation + "&wait_ms=" + WAIT_MS, WAIT_MS);
        }
    }

    private boolean read(FullHttpResponse answer) {
        try (InputStream in = new ByteBufInputStream(answer.content())) {
            JsonNode list = json.readTree(in);
            if (!list.path("generation").isIntegralNumber() || !list.path("instances").isArray()) {
                return false;
            }
            long received = list.path("generation").asLong();
            boolean whole = list.path("reset").asBoolean();
            if (!whole && received < generation) {
                // Older changes could undo newer ones, such as a drain: fetch the whole list instead.
                Log.warn("discovery.older", "told", received, "known", generation);
                generation = -1;
                return false;
            }
            generation = received;
            report(list, whole);
            return true;
        } catch (IOException e) {
            Log.warn("discovery.unreadable", "cause", e);
            return false;
        }
    }

    private void report(JsonNode list, boolean whole) {
        List<Entry> entries = new ArrayList<>();
        for (JsonNode e : list.path("instances")) {
            try {
                String state = e.path("lifecycle").asText();
                entries.add(new Entry(e.path("instanceId").asText(),
                        Config.address(e.path("hostPort").asText()), e.path("zone").asText(),
                        e.path("machineType").asText(), e.path("cell").asLong(),
                        state.equals("SERVING"), e.path("weight").asDouble(), state.equals("DELETED")));
                if (!STATES.contains(state)) {
                    // Treated as not serving: the state may forbid new messages.
                    Log.warn("discovery.state_unknown", "endpoint", e.path("instanceId").asText(), "state", state);
                }
            } catch (BadInput bad) {
                Log.warn("discovery.entry_unreadable", "cause", bad.getMessage());
            }
        }
        if (whole || !entries.isEmpty()) {
            listener.endpointsChanged(whole, entries);
        }
    }
}

package slipfield.directory.consul;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringEncoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import slipfield.agent.AgentClient;
import slipfield.log.Log;

/**
 * Registers the sender as a service with one agent and keeps its TTL check passing; see "Agent service" and "Agent check" in
 * Consul's documentation. Registers again with an agent that lost the registration, and with the next agent on failure.
 */
final class Registration {
    private static final long TIMEOUT_MS = 500;
    /** Consul deregisters a sender that stopped renewing after this many TTLs; Consul's minimum is one minute. */
    private static final int TTLS_UNTIL_DEREGISTERED = 6;

    private final EventLoop loop;
    private final AgentAccess access;
    private final ConsulSettings.Register as;
    private final InetSocketAddress address;
    private final String id;
    private final JsonMapper json = JsonMapper.builder().build();
    private AgentClient agent;
    private int turn;
    private boolean registered;
    private boolean ended;
    private boolean failing;
    private Optional<Future<?>> next = Optional.empty();

    Registration(EventLoop loop, AgentAccess access, ConsulSettings.Register as, InetSocketAddress address) {
        this.loop = loop;
        this.access = access;
        this.as = as;
        this.address = address;
        this.id = as.id().isEmpty() ? as.name() + "-" + address.getHostString() + "-" + address.getPort() : as.id();
    }

    void start() {
        agent = access.agent(loop, turn);
        renew();
    }

    private void renew() {
        if (ended) {
            return;
        }
        if (registered) {
            put("/v1/agent/check/update/" + check(), json.createObjectNode().put("Status", "passing"));
        } else {
            put("/v1/agent/service/register", service());
        }
    }

    private String check() {
        return "service:" + id;
    }

    private ObjectNode service() {
        ObjectNode service = json.createObjectNode().put("ID", id).put("Name", as.name())
                .put("Address", address.getHostString()).put("Port", address.getPort());
        ArrayNode tags = service.putArray("Tags");
        as.tags().forEach(tags::add);
        service.putObject("Check").put("CheckID", check()).put("TTL", as.ttlMs() + "ms").put("Status", "passing")
                .put("DeregisterCriticalServiceAfter", Math.max(60_000, TTLS_UNTIL_DEREGISTERED * as.ttlMs()) + "ms");
        return service;
    }

    private void put(String path, ObjectNode body) {
        agent.send(request(path, body), TIMEOUT_MS, this::answered);
    }

    private FullHttpRequest request(String path, ObjectNode body) {
        QueryStringEncoder query = new QueryStringEncoder(path);
        access.addScope(query);
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.PUT, query.toString(),
                Unpooled.copiedBuffer(body.toString(), StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        access.authorize(request);
        return request;
    }

    private void answered(Optional<FullHttpResponse> answer) {
        if (ended) {
            return;
        }
        int code = answer.map(a -> a.status().code()).orElse(0);
        boolean good = code == 200;
        if (failing == good) {
            failing = !good;
            if (good) {
                Log.info("consul.registered", "id", id);
            } else {
                Log.warn("consul.registration_lost", "agent", access.name(turn), "status", code);
            }
        }
        boolean again = !good && registered && code != 0;
        registered = good;
        if (again) {
            // The agent answers but lost the registration: register again at once.
            renew();
            return;
        }
        if (!good) {
            if (code == 403) {
                access.tokenRefused();
            }
            agent.close();
            agent = access.agent(loop, ++turn);
        }
        next = Optional.of(loop.schedule(this::renew, good ? as.ttlMs() / 3 : Math.min(1000, as.ttlMs() / 3),
                TimeUnit.MILLISECONDS));
    }

    /** Deregisters the sender; {@code then} runs after the answer or its time-out. */
    void end(Runnable then) {
        ended = true;
        next.ifPresent(n -> n.cancel(false));
        agent.close();
        if (!registered) {
            then.run();
            return;
        }
        agent.send(request("/v1/agent/service/deregister/" + id, json.createObjectNode()), TIMEOUT_MS, answer -> {
            agent.close();
            then.run();
        });
    }
}

package slipfield.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Senders that are registered in Consul, by its health API with blocking queries (Consul's HTTP API, "Blocking Queries"):
 * those whose checks pass or warn and that are not draining. An agent that fails is followed by the next; the last list
 * stands meanwhile, and an empty one is told as what it is, which a client takes for not knowing.
 */
public final class ConsulSenders implements Senders {
    private static final Logger LOG = LoggerFactory.getLogger(ConsulSenders.class);
    private static final long WAIT_S = 5;
    /** Consul adds up to a sixteenth to a wait. */
    private static final Duration TIMEOUT = Duration.ofMillis(WAIT_S * 1000 + 1000);
    private static final long RETRY_DELAY_MS = 300;

    private final List<InetSocketAddress> agents;
    private final String service;
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1)).build();
    private final JsonMapper json = JsonMapper.builder().build();
    private volatile boolean closed;
    private int agentIndex;
    private long index;

    /** Senders that are registered as this service, of the first of these agents that answers. */
    public ConsulSenders(List<InetSocketAddress> agents, String service) {
        this.agents = List.copyOf(agents);
        this.service = URLEncoder.encode(service, StandardCharsets.UTF_8);
    }

    @Override
    public void start(Consumer<List<InetSocketAddress>> listener) {
        InetSocketAddress agent = agents.get(agentIndex % agents.size());
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + agent.getHostString() + ":" + agent.getPort()
                + "/v1/health/service/" + service + "?index=" + index + "&wait=" + WAIT_S + "s")).timeout(TIMEOUT).build();
        http.sendAsync(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8)).whenComplete((answer, fault) -> {
            if (closed) {
                return;
            }
            try {
                if (fault != null || answer.statusCode() != 200) {
                    throw new IllegalStateException(fault != null ? fault.toString() : "status " + answer.statusCode());
                }
                long next = answer.headers().firstValueAsLong("X-Consul-Index").orElse(0);
                if (next != index || next == 0) {
                    List<InetSocketAddress> list = read(answer.body());
                    // An index that goes back begins anew (Consul's documentation of blocking queries).
                    index = next < index ? 0 : next;
                    listener.accept(list);
                }
                restart(listener, next == 0 ? RETRY_DELAY_MS : 0);
            } catch (IllegalStateException | JsonProcessingException e) {
                LOG.warn("senders.unreadable agent={} cause={}", agent, e.getMessage());
                agentIndex++;
                index = 0;
                restart(listener, RETRY_DELAY_MS);
            }
        });
    }

    private void restart(Consumer<List<InetSocketAddress>> listener, long afterMs) {
        CompletableFuture.delayedExecutor(afterMs, TimeUnit.MILLISECONDS).execute(() -> {
            if (!closed) {
                start(listener);
            }
        });
    }

    private List<InetSocketAddress> read(String body) throws JsonProcessingException {
        JsonNode entries = json.readTree(body);
        if (!entries.isArray()) {
            throw new IllegalStateException("no list of instances");
        }
        List<InetSocketAddress> senders = new ArrayList<>();
        for (JsonNode entry : entries) {
            boolean available = true;
            for (JsonNode check : entry.path("Checks")) {
                available &= !check.path("Status").asText().equals("critical");
            }
            for (JsonNode tag : entry.path("Service").path("Tags")) {
                available &= !tag.asText().equals("draining");
            }
            String host = entry.path("Service").path("Address").asText();
            String at = (host.isEmpty() ? entry.path("Node").path("Address").asText() : host) + ":"
                    + entry.path("Service").path("Port").asInt();
            if (available) {
                try {
                    senders.add(SenderFile.address("", at));
                } catch (IllegalArgumentException noAddress) {
                    LOG.warn("senders.left_out cause={}", noAddress.getMessage());
                }
            }
        }
        return senders;
    }

    @Override
    public void close() {
        closed = true;
    }
}

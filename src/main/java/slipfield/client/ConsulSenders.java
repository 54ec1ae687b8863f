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
 * Senders that are registered in Consul, from its health API with blocking queries (Consul's HTTP API, "Blocking Queries"):
 * those of which no check is critical and that are not tagged as draining. If an agent fails, the next one is queried; the
 * last list stays in force meanwhile. An empty list is passed on; clients take it as unknown and keep their last list.
 */
public final class ConsulSenders implements Senders {
    private static final Logger LOG = LoggerFactory.getLogger(ConsulSenders.class);
    /** How long an agent may hold a blocking query open. */
    private static final long WAIT_S = 5;
    /** Consul adds up to a sixteenth to the wait time of a blocking query. */
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

    /** Senders that are registered as this service. The agents are tried in turn until one answers. */
    public ConsulSenders(List<InetSocketAddress> agents, String service) {
        this.agents = List.copyOf(agents);
        this.service = URLEncoder.encode(service, StandardCharsets.UTF_8);
    }

    @Override
    public void start(Consumer<List<InetSocketAddress>> listener) {
        InetSocketAddress agent = agents.get(agentIndex % agents.size());
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + agent.getHostString() + ":" + agent.getPort()
                + "/v1/health/service/" + service + "?index=" + index + "&wait=" + WAIT_S + "s")).timeout(TIMEOUT).build();
        http.sendAsync(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8)).whenComplete((response, fault) -> {
            if (closed) {
                return;
            }
            try {
                if (fault != null || response.statusCode() != 200) {
                    throw new IllegalStateException(fault != null ? fault.toString() : "status " + response.statusCode());
                }
                long next = response.headers().firstValueAsLong("X-Consul-Index").orElse(0);
                if (next != index || next == 0) {
                    List<InetSocketAddress> senders = read(response.body());
                    // An index that decreases must be reset to 0 (Consul's documentation of blocking queries).
                    index = next < index ? 0 : next;
                    listener.accept(senders);
                }
                queryAgain(listener, next == 0 ? RETRY_DELAY_MS : 0);
            } catch (IllegalStateException | JsonProcessingException e) {
                LOG.warn("senders.unreadable agent={} cause={}", agent, e.getMessage());
                agentIndex++;
                index = 0;
                queryAgain(listener, RETRY_DELAY_MS);
            }
        });
    }

    private void queryAgain(Consumer<List<InetSocketAddress>> listener, long afterMs) {
        CompletableFuture.delayedExecutor(afterMs, TimeUnit.MILLISECONDS).execute(() -> {
            if (!closed) {
                start(listener);
            }
        });
    }

    private List<InetSocketAddress> read(String body) throws JsonProcessingException {
        JsonNode entries = json.readTree(body);
        if (!entries.isArray()) {
            throw new IllegalStateException("the response is not a list of instances");
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
            String address = (host.isEmpty() ? entry.path("Node").path("Address").asText() : host) + ":"
                    + entry.path("Service").path("Port").asInt();
            if (available) {
                try {
                    senders.add(SenderFile.address("", address));
                } catch (IllegalArgumentException badAddress) {
                    LOG.warn("senders.left_out cause={}", badAddress.getMessage());
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

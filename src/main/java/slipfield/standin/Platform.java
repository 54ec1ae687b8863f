package slipfield.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A stand-in agent of the platform: the list of venues, a watch on it, and the notices that it is told. */
public final class Platform implements AutoCloseable {
    /** The one destination that all venues of a run are of. */
    public static final long DESTINATION = 1;
    private static final int GENERATION = 1;

    private final JsonMapper json = JsonMapper.builder().build();
    private final Ledger ledger;
    private final List<Venue> venues;
    private final HttpServer server;

    /** Lists these venues, and tells the ledger of notices. */
    public Platform(EventLoopGroup group, Ledger ledger, List<Venue> venues) {
        this.ledger = ledger;
        this.venues = List.copyOf(venues);
        this.server = new HttpServer(group, 0, this::asked);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    private void asked(Channel channel, FullHttpRequest request) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        if (uri.path().equals("/reports")) {
            boolean read = read(request.content().toString(StandardCharsets.UTF_8));
            HttpServer.answer(channel, read ? 204 : 400, "");
            return;
        }
        List<String> after = uri.parameters().getOrDefault("after", List.of());
        if (after.contains(Integer.toString(GENERATION))) {
            // The list never changes: a watch ends by its own time.
            long waitMs = Long.parseLong(uri.parameters().getOrDefault("wait_ms", List.of("0")).get(0));
            channel.eventLoop().schedule(() -> HttpServer.answer(channel, 200, list(List.of(), false)), waitMs,
                    TimeUnit.MILLISECONDS);
        } else {
            HttpServer.answer(channel, 200, list(venues, true));
        }
    }

    private boolean read(String notices) {
        try {
            for (String line : notices.split("\n")) {
                JsonNode notice = json.readTree(line);
                ledger.noticed(notice.path("ref").asText(), notice.path("result").asText().equals("bounced"));
            }
            return true;
        } catch (JsonProcessingException e) {
            return false;
        }
    }

    private String list(List<Venue> named, boolean whole) {
        ObjectNode list = json.createObjectNode().put("generation", GENERATION).put("reset", whole);
        ArrayNode entries = list.putArray("instances");
        for (Venue venue : named) {
            entries.addObject().put("instanceId", venue.id())
                    .put("hostPort", "127.0.0.1:" + venue.address().getPort()).put("zone", "a")
                    .put("machineType", "m").put("cell", DESTINATION).put("lifecycle", "SERVING")
                    .put("weight", 1.0).put("startedAtMs", 0);
        }
        return list.toString();
    }

    @Override
    public void close() {
        server.close();
    }
}

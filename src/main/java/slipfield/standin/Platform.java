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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** A stand-in agent of the platform: the list of venues, a watch on it, and the notices that it is told. */
public final class Platform implements AutoCloseable {
    /** The destination of venues that have none of their own. */
    public static final long DESTINATION = 1;
    private static final int GENERATION = 1;

    private static final int NO_SENDER = -1;

    private final JsonMapper json = JsonMapper.builder().build();
    private final Ledger ledger;
    private final List<Venue> venues;
    private final int sender;
    private final Map<Venue, InetSocketAddress> addresses = new HashMap<>();
    private final HttpServer server;
    /** Guarded by this object: what the list says now, and who waits for news of it. */
    private int generation = GENERATION;
    private Set<Venue> draining = Set.of();
    private final List<Runnable> watches = new ArrayList<>();
    private final List<Runnable> unanswered = new ArrayList<>();
    private boolean silent;

    /** Lists these venues, and tells the ledger of notices. */
    public Platform(EventLoopGroup group, Ledger ledger, List<Venue> venues) {
        this(group, ledger, venues, NO_SENDER, Venue::address);
    }

    /** The same on one sender's machine, by its number; where it is told that each venue is. */
    public Platform(EventLoopGroup group, Ledger ledger, List<Venue> venues, int sender,
            Function<Venue, InetSocketAddress> addresses) {
        this.ledger = ledger;
        this.venues = List.copyOf(venues);
        this.sender = sender;
        // Here and not when it is asked: to open what a venue is found at blocks, which an event loop must not.
        venues.forEach(venue -> this.addresses.put(venue, addresses.apply(venue)));
        this.server = new HttpServer(group, 0, this::asked);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** These venues drain from now on, and no others; whoever watches is told. */
    public synchronized void draining(Set<Venue> now) {
        if (now.equals(draining)) {
            return;
        }
        draining = Set.copyOf(now);
        generation++;
        List<Runnable> told = List.copyOf(watches);
        watches.clear();
        told.forEach(Runnable::run);
    }

    /** While it is so it answers nothing; afterwards all that it was asked. */
    public synchronized void silent(boolean now) {
        silent = now;
        if (!silent) {
            List<Runnable> late = List.copyOf(unanswered);
            unanswered.clear();
            late.forEach(Runnable::run);
        }
    }

    private synchronized void asked(Channel channel, FullHttpRequest request) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        if (uri.path().equals("/reports")) {
            boolean read = read(request.content().toString(StandardCharsets.UTF_8));
            HttpServer.answer(channel, read ? 204 : 400, "");
            return;
        }
        List<String> after = uri.parameters().getOrDefault("after", List.of());
        if (after.contains(Integer.toString(generation))) {
            long waitMs = Long.parseLong(uri.parameters().getOrDefault("wait_ms", List.of("0")).get(0));
            Runnable news = () -> tell(channel);
            watches.add(news);
            channel.eventLoop().schedule(() -> unchanged(channel, news), waitMs, TimeUnit.MILLISECONDS);
        } else {
            tell(channel);
        }
    }

    /** A watch ends by its own time. */
    private synchronized void unchanged(Channel channel, Runnable news) {
        if (watches.remove(news)) {
            if (silent) {
                unanswered.add(() -> tell(channel));
            } else {
                HttpServer.answer(channel, 200, list(List.of(), false));
            }
        }
    }

    private synchronized void tell(Channel channel) {
        if (silent) {
            unanswered.add(() -> tell(channel));
            return;
        }
        Set<Venue> drain = draining;
        HttpServer.answer(channel, 200, list(venues, true)).addListener(written -> {
            if (written.isSuccess()) {
                venues.forEach(v -> ledger.witness().saw(drain.contains(v) ? Witness.What.TOLD_DRAIN : Witness.What.TOLD_SERVING,
                        "", sender, v.number(), -1));
            }
        });
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
        ObjectNode list = json.createObjectNode().put("generation", generation).put("reset", whole);
        ArrayNode entries = list.putArray("instances");
        for (Venue venue : named) {
            entries.addObject().put("instanceId", venue.id())
                    .put("hostPort", "127.0.0.1:" + addresses.get(venue).getPort()).put("zone", "a")
                    .put("machineType", "m").put("cell", venue.destination())
                    .put("lifecycle", draining.contains(venue) ? "DRAINING" : "SERVING")
                    .put("weight", 1.0).put("startedAtMs", 0);
        }
        return list.toString();
    }

    @Override
    public void close() {
        server.close();
    }
}

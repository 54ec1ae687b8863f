package slipfield.amqp.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import slipfield.amqp.decide.Backpressure;
import slipfield.amqp.decide.Routes;
import slipfield.amqp.decide.Tuning;
import slipfield.config.BadInput;
import slipfield.settings.Section;
import slipfield.settings.SettingsFile;

/**
 * The operator's file of AMQP.
 *
 * @param listen where publishers and consumers connect to; absent: by TLS alone
 * @param tls the same by TLS
 * @param virtualHosts that may be opened
 * @param users by name
 * @param exchanges names and types, for declarations that must agree with them
 * @param queues by name
 * @param unconfirmed whether publishing is allowed outside confirm mode
 */
public record AmqpConfig(Optional<InetSocketAddress> listen, Optional<Tls> tls, Set<String> virtualHosts,
        Map<String, User> users, Routes routes, Map<String, Queue> queues, Limits limits, boolean unconfirmed) {
    private static final long LONGEST_MS = 24 * 3_600_000;
    /** Some 10 MB of heap when they are all there: what publishers at 2,000 a second publish again within 30 s. */
    private static final int KNOWN_IDS = 65_536;

    /** Names that the sender's configuration knows: what the file names must be among them. */
    public record Known(List<String> classes, List<String> tenants, List<String> kinds, List<String> zones) {
    }

    /** Certificate and key, as PEM; {@code clients}: whose certificates name users. */
    public record Tls(InetSocketAddress listen, Path certificate, Path key, Optional<Path> clients) {
    }

    /**
     * Who may connect.
     *
     * @param secret absent: by certificate alone
     * @param tenant of what it publishes; empty: a header names it
     * @param publish exchanges that it may publish to
     * @param consume queues that it may consume
     */
    public record User(String name, Optional<Secret> secret, String tenant, Set<String> publish, Set<String> consume) {
    }

    /** A queue: its consumers are endpoints of this destination. */
    public record Queue(String name, long destination, String kind, String zone) {
    }

    /**
     * Bounds.
     *
     * @param bodyOctets of one message
     * @param each unsettled publishes of a connection before it is read no further, {@code all} of all
     * @param prefetch deliveries out to one consumer at most
     * @param ackMs a delivery that is out for longer closes its channel
     * @param awayMs a consumer that left is remembered for so long
     * @param knownIds a message-id that is published again within so many messages is not taken twice
     */
    public record Limits(int connections, Tuning tuning, int bodyOctets, Backpressure.Load each, Backpressure.Load all,
            int prefetch, long ackMs, long awayMs, int knownIds) {
    }

    /** Reads it; an error names file, line, column and mend. */
    public static AmqpConfig read(Path path, Known known) throws IOException, BadInput {
        return read(SettingsFile.read(path), known);
    }

    static AmqpConfig read(Section file, Known known) throws BadInput {
        file.only("listen", "tls", "virtual_hosts", "users", "exchanges", "queues", "limits", "unconfirmed");
        Optional<Tls> tls = Optional.empty();
        if (file.section("tls").isPresent()) {
            Section t = file.section("tls").get().only("listen", "certificate", "key", "clients");
            t.text("certificate");
            t.text("key");
            tls = Optional.of(new Tls(t.address("listen"), t.path("certificate").orElseThrow(),
                    t.path("key").orElseThrow(), t.path("clients")));
        }
        if (!file.has("listen") && tls.isEmpty()) {
            throw file.wrong("listen", "is missing; write `listen: 127.0.0.1:5672`, or a part `tls`");
        }
        Routes routes = new Routes();
        for (Section e : file.sections("exchanges")) {
            routes.exchange(e.only("name", "routes").text("name"), routes(e, known));
        }
        Map<String, Queue> queues = new LinkedHashMap<>();
        for (Section q : file.sections("queues")) {
            q.only("name", "destination", "kind", "zone");
            Queue queue = new Queue(q.text("name"), destination(q), among(q, "kind", known.kinds()),
                    among(q, "zone", known.zones()));
            if (queues.put(queue.name(), queue) != null) {
                throw q.wrong("name", "is there twice; keep one queue of this name");
            }
        }
        Map<String, User> users = new LinkedHashMap<>();
        for (Section u : file.sections("users")) {
            User user = user(u, known, routes, queues);
            if (users.put(user.name(), user) != null) {
                throw u.wrong("name", "is there twice; keep one user of this name");
            }
        }
        if (users.isEmpty()) {
            throw file.wrong("users", "names nobody; write one `- {name: ..., secret: ...}` for each who may connect");
        }
        Set<String> hosts = file.has("virtual_hosts") ? new HashSet<>(file.texts("virtual_hosts")) : Set.of("/");
        return new AmqpConfig(file.has("listen") ? Optional.of(file.address("listen")) : Optional.empty(), tls, hosts,
                users, routes, queues, limits(file), file.flag("unconfirmed", false));
    }

    private static List<Routes.Route> routes(Section exchange, Known known) throws BadInput {
        List<Routes.Route> routes = new ArrayList<>();
        for (Section r : exchange.sections("routes")) {
            r.only("key", "class", "destination", "destination_word");
            if (r.has("destination") == r.has("destination_word")) {
                throw r.wrong("destination", "or destination_word: one of the two; write `destination: 7`, or "
                        + "`destination_word: 2` where the key's second word is its number");
            }
            r.text("class");
            routes.add(new Routes.Route(r.text("key"), among(r, "class", known.classes()),
                    r.has("destination") ? destination(r) : 0, (int) r.whole("destination_word", 0, 1, 100)));
        }
        return routes;
    }

    private static long destination(Section s) throws BadInput {
        s.text("destination");
        return s.whole("destination", 0, 0, Long.MAX_VALUE);
    }

    private static String among(Section s, String key, List<String> names) throws BadInput {
        String otherwise = names.isEmpty() ? "" : names.get(0);
        return names.isEmpty() ? s.text(key, "") : s.oneOf(key, otherwise, Set.copyOf(names));
    }

    private static User user(Section u, Known known, Routes routes, Map<String, Queue> queues) throws BadInput {
        u.only("name", "secret", "tenant", "publish", "consume");
        Optional<Secret> secret = Optional.empty();
        if (u.has("secret")) {
            secret = Secret.parse(u.text("secret"));
            if (secret.isEmpty()) {
                throw u.wrong("secret", "is no hashed secret; make one by `bin/slipfield amqp secret`");
            }
        }
        String tenant = u.text("tenant", "");
        if (!tenant.isEmpty()) {
            among(u, "tenant", known.tenants());
        }
        for (String exchange : u.texts("publish")) {
            if (!routes.knows(exchange)) {
                throw u.wrong("publish", "names no exchange of this file: '" + exchange + "'; add it under `exchanges`");
            }
        }
        for (String queue : u.texts("consume")) {
            if (!queues.containsKey(queue)) {
                throw u.wrong("consume", "names no queue of this file: '" + queue + "'; add it under `queues`");
            }
        }
        return new User(u.text("name"), secret, tenant, Set.copyOf(u.texts("publish")), Set.copyOf(u.texts("consume")));
    }

    private static Limits limits(Section file) throws BadInput {
        Section l = file.section("limits").orElse(null);
        if (l == null) {
            return new Limits(256, new Tuning(64, 131_072, 10_000), 65_536, new Backpressure.Load(512, 1 << 20),
                    new Backpressure.Load(2000, 4 << 20), 64, 60_000, 30_000, KNOWN_IDS);
        }
        l.only("connections", "channels", "frame_octets", "heartbeat", "body_octets", "unsettled_each", "unsettled_each_kb",
                "unsettled", "unsettled_kb", "prefetch", "ack_within", "away", "known_ids");
        return new Limits((int) l.whole("connections", 256, 1, 65_536),
                new Tuning((int) l.whole("channels", 64, 1, 65_535), (int) l.whole("frame_octets", 131_072, 4096, 1 << 24),
                        l.millis("heartbeat", 10_000, 0, 3_600_000)),
                (int) l.whole("body_octets", 65_536, 0, 1 << 24),
                new Backpressure.Load((int) l.whole("unsettled_each", 512, 1, 1_000_000),
                        1024 * l.whole("unsettled_each_kb", 1024, 1, 1 << 20)),
                new Backpressure.Load((int) l.whole("unsettled", 2000, 1, 1_000_000),
                        1024 * l.whole("unsettled_kb", 4096, 1, 1 << 20)),
                (int) l.whole("prefetch", 64, 1, 65_535), l.millis("ack_within", 60_000, 1000, LONGEST_MS),
                l.millis("away", 30_000, 0, LONGEST_MS), (int) l.whole("known_ids", KNOWN_IDS, 4096, 10_000_000));
    }
}

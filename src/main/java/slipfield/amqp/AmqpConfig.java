package slipfield.amqp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import slipfield.amqp.decide.Backpressure;
import slipfield.amqp.decide.RoutingTable;
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
 * @param outbound brokers elsewhere that are published to
 * @param inbound queues of brokers elsewhere that are consumed
 */
public record AmqpConfig(Optional<InetSocketAddress> listen, Optional<Tls> tls, Set<String> virtualHosts,
        Map<String, User> users, RoutingTable routes, Map<String, Queue> queues, Limits limits, boolean unconfirmed,
        List<Outbound> outbound, List<Inbound> inbound) {
    private static final long LONGEST_MS = 24 * 3_600_000;
    /** Some 10 MB of heap when they are all there: what publishers at 2,000 a second publish again within 30 s. */
    private static final int KNOWN_IDS = 65_536;

    /** Names that the sender's configuration knows: what the file names must be among them. */
    public record KnownNames(List<String> classes, List<String> tenants, List<String> kinds, List<String> zones) {
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

    /** How a broker elsewhere is reached by TLS: whose certificates are trusted, and our own where it asks for one. */
    public record ClientTls(Path trust, Optional<Path> certificate, Optional<Path> key) {
    }

    /**
     * A broker elsewhere.
     *
     * @param password absent: our certificate names us
     */
    public record Broker(String name, InetSocketAddress address, String virtualHost, String user,
            Optional<String> password, Optional<ClientTls> tls) {
        /** The SASL mechanism to log in by. */
        public String mechanism() {
            return password.isPresent() ? "PLAIN" : "EXTERNAL";
        }

        /** Its response. */
        public String response() {
            return password.map(secret -> "\0" + user + "\0" + secret).orElse("");
        }

        /** Without the secret. */
        @Override
        public String toString() {
            return name + " at " + address;
        }
    }

    /** Messages for a queue's destination are published there, so many at once. */
    public record Outbound(Broker broker, String exchange, String key, Queue queue, int inFlight) {
    }

    /** What a queue there delivers is handed in by the routes of this exchange, as this user's. */
    public record Inbound(Broker broker, String queue, String exchange, User user, int prefetch) {
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
    public static AmqpConfig read(Path path, KnownNames known) throws IOException, BadInput {
        return read(SettingsFile.read(path), known);
    }

    static AmqpConfig read(Section file, KnownNames known) throws IOException, BadInput {
        file.allowOnly("listen", "tls", "virtual_hosts", "users", "exchanges", "queues", "limits", "unconfirmed",
                "outbound", "inbound");
        Optional<Tls> tls = Optional.empty();
        if (file.section("tls").isPresent()) {
            Section t = file.section("tls").get().allowOnly("listen", "certificate", "key", "clients");
            t.text("certificate");
            t.text("key");
            tls = Optional.of(new Tls(t.address("listen"), t.path("certificate").orElseThrow(),
                    t.path("key").orElseThrow(), t.path("clients")));
        }
        if (!file.has("listen") && tls.isEmpty()) {
            throw file.error("listen", "is missing; write `listen: 127.0.0.1:5672`, or a part `tls`");
        }
        RoutingTable routes = new RoutingTable();
        for (Section e : file.sections("exchanges")) {
            routes.addExchange(e.allowOnly("name", "routes").text("name"), routes(e, known));
        }
        Map<String, Queue> queues = new LinkedHashMap<>();
        for (Section q : file.sections("queues")) {
            q.allowOnly("name", "destination", "kind", "zone");
            Queue queue = new Queue(q.text("name"), destination(q), among(q, "kind", known.kinds()),
                    among(q, "zone", known.zones()));
            if (queues.put(queue.name(), queue) != null) {
                throw q.error("name", "is there twice; keep one queue of this name");
            }
        }
        Map<String, User> users = new LinkedHashMap<>();
        for (Section u : file.sections("users")) {
            User user = user(u, known, routes, queues);
            if (users.put(user.name(), user) != null) {
                throw u.error("name", "is there twice; keep one user of this name");
            }
        }
        if (users.isEmpty()) {
            throw file.error("users", "names nobody; write one `- {name: ..., secret: ...}` for each who may connect");
        }
        Set<String> hosts = file.has("virtual_hosts") ? new HashSet<>(file.texts("virtual_hosts")) : Set.of("/");
        return new AmqpConfig(file.has("listen") ? Optional.of(file.address("listen")) : Optional.empty(), tls, hosts,
                users, routes, queues, limits(file), file.flag("unconfirmed", false), outbound(file, known),
                inbound(file, known, routes));
    }

    private static List<Outbound> outbound(Section file, KnownNames known) throws IOException, BadInput {
        List<Outbound> all = new ArrayList<>();
        for (Section o : file.sections("outbound")) {
            o.allowOnly("name", "address", "virtual_host", "user", "password_file", "tls", "exchange", "key", "destination",
                    "kind", "zone", "in_flight");
            Broker broker = broker(o, all.stream().map(Outbound::broker).toList());
            all.add(new Outbound(broker, o.text("exchange", ""), o.text("key"), new Queue("out/" + broker.name(),
                    destination(o), among(o, "kind", known.kinds()), among(o, "zone", known.zones())),
                    (int) o.integer("in_flight", 64, 1, 65_535)));
        }
        return all;
    }

    private static List<Inbound> inbound(Section file, KnownNames known, RoutingTable routes) throws IOException, BadInput {
        List<Inbound> all = new ArrayList<>();
        for (Section i : file.sections("inbound")) {
            i.allowOnly("name", "address", "virtual_host", "user", "password_file", "tls", "queue", "exchange", "tenant",
                    "prefetch");
            if (!routes.hasExchange(i.text("exchange"))) {
                throw i.error("exchange", "names no exchange of this file: '" + i.text("exchange") + "'; its routes say where "
                        + "what is taken goes: add it under `exchanges`");
            }
            Broker broker = broker(i, all.stream().map(Inbound::broker).toList());
            String tenant = i.text("tenant", "");
            if (!tenant.isEmpty()) {
                among(i, "tenant", known.tenants());
            }
            all.add(new Inbound(broker, i.text("queue"), i.text("exchange"), new User(broker.name(), Optional.empty(), tenant,
                    Set.of(), Set.of()), (int) i.integer("prefetch", 64, 1, 65_535)));
        }
        return all;
    }

    private static Broker broker(Section b, List<Broker> before) throws IOException, BadInput {
        String name = b.text("name");
        if (before.stream().anyMatch(other -> other.name().equals(name))) {
            throw b.error("name", "is there twice; give each a name of its own");
        }
        Optional<String> password = Optional.empty();
        if (b.has("password_file")) {
            Path file = b.path("password_file").orElseThrow();
            if (!Files.isReadable(file)) {
                throw b.error("password_file", "can't be read: " + file + "; write the secret there, for the sender's user "
                        + "alone");
            }
            password = Optional.of(Files.readString(file).strip());
        }
        Optional<ClientTls> tls = Optional.empty();
        if (b.section("tls").isPresent()) {
            Section t = b.section("tls").get().allowOnly("trust", "certificate", "key");
            t.text("trust");
            if (t.has("certificate") != t.has("key")) {
                throw t.error("certificate", "and key go together; write both, or neither");
            }
            tls = Optional.of(new ClientTls(t.path("trust").orElseThrow(), t.path("certificate"), t.path("key")));
        }
        if (password.isEmpty() && tls.flatMap(ClientTls::certificate).isEmpty()) {
            throw b.error("password_file", "is missing; name a file that holds the secret, or a certificate under `tls`");
        }
        return new Broker(name, b.address("address"), b.text("virtual_host", "/"), b.text("user", ""), password, tls);
    }

    private static List<RoutingTable.Route> routes(Section exchange, KnownNames known) throws BadInput {
        List<RoutingTable.Route> routes = new ArrayList<>();
        for (Section r : exchange.sections("routes")) {
            r.allowOnly("key", "class", "destination", "destination_word");
            if (r.has("destination") == r.has("destination_word")) {
                throw r.error("destination", "or destination_word: one of the two; write `destination: 7`, or "
                        + "`destination_word: 2` where the key's second word is its number");
            }
            r.text("class");
            routes.add(new RoutingTable.Route(r.text("key"), among(r, "class", known.classes()),
                    r.has("destination") ? destination(r) : 0, (int) r.integer("destination_word", 0, 1, 100)));
        }
        return routes;
    }

    private static long destination(Section s) throws BadInput {
        s.text("destination");
        return s.integer("destination", 0, 0, Long.MAX_VALUE);
    }

    private static String among(Section s, String key, List<String> names) throws BadInput {
        String otherwise = names.isEmpty() ? "" : names.get(0);
        return names.isEmpty() ? s.text(key, "") : s.oneOf(key, otherwise, Set.copyOf(names));
    }

    private static User user(Section u, KnownNames known, RoutingTable routes, Map<String, Queue> queues) throws BadInput {
        u.allowOnly("name", "secret", "tenant", "publish", "consume");
        Optional<Secret> secret = Optional.empty();
        if (u.has("secret")) {
            secret = Secret.parse(u.text("secret"));
            if (secret.isEmpty()) {
                throw u.error("secret", "is no hashed secret; make one by `bin/slipfield amqp secret`");
            }
        }
        String tenant = u.text("tenant", "");
        if (!tenant.isEmpty()) {
            among(u, "tenant", known.tenants());
        }
        for (String exchange : u.texts("publish")) {
            if (!routes.hasExchange(exchange)) {
                throw u.error("publish", "names no exchange of this file: '" + exchange + "'; add it under `exchanges`");
            }
        }
        for (String queue : u.texts("consume")) {
            if (!queues.containsKey(queue)) {
                throw u.error("consume", "names no queue of this file: '" + queue + "'; add it under `queues`");
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
        l.allowOnly("connections", "channels", "frame_octets", "heartbeat", "body_octets", "unsettled_each", "unsettled_each_kb",
                "unsettled", "unsettled_kb", "prefetch", "ack_within", "away", "known_ids");
        return new Limits((int) l.integer("connections", 256, 1, 65_536),
                new Tuning((int) l.integer("channels", 64, 1, 65_535), (int) l.integer("frame_octets", 131_072, 4096, 1 << 24),
                        l.millis("heartbeat", 10_000, 0, 3_600_000)),
                (int) l.integer("body_octets", 65_536, 0, 1 << 24),
                new Backpressure.Load((int) l.integer("unsettled_each", 512, 1, 1_000_000),
                        1024 * l.integer("unsettled_each_kb", 1024, 1, 1 << 20)),
                new Backpressure.Load((int) l.integer("unsettled", 2000, 1, 1_000_000),
                        1024 * l.integer("unsettled_kb", 4096, 1, 1 << 20)),
                (int) l.integer("prefetch", 64, 1, 65_535), l.millis("ack_within", 60_000, 1000, LONGEST_MS),
                l.millis("away", 30_000, 0, LONGEST_MS), (int) l.integer("known_ids", KNOWN_IDS, 4096, 10_000_000));
    }
}

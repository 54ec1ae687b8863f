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
 * The operator's AMQP configuration file.
 *
 * @param listen the address for publishers and consumers; absent: only TLS connections are accepted
 * @param tls the address and certificates for TLS connections
 * @param virtualHosts the virtual hosts that clients may open
 * @param users by name
 * @param routes the exchanges with their routes; declarations by clients must agree with them
 * @param queues by name
 * @param unconfirmed whether publishing is allowed outside confirm mode
 * @param outbound other brokers that the sender publishes to
 * @param inbound queues of other brokers that the sender consumes
 */
public record AmqpConfig(Optional<InetSocketAddress> listen, Optional<Tls> tls, Set<String> virtualHosts,
        Map<String, User> users, RoutingTable routes, Map<String, Queue> queues, Limits limits, boolean unconfirmed,
        List<Outbound> outbound, List<Inbound> inbound) {
    private static final long MAX_MS = 24 * 3_600_000;
    /** Enough for 30 s of repeated publishes at 2,000 messages per second; about 10 MB of heap when full. */
    private static final int DEFAULT_KNOWN_IDS = 65_536;

    /** The names that the sender's configuration defines. The AMQP file may refer only to these. */
    public record KnownNames(List<String> classes, List<String> tenants, List<String> kinds, List<String> zones) {
    }

    /** Certificate and key as PEM files. {@code clients}: the CA whose client certificates may identify users. */
    public record Tls(InetSocketAddress listen, Path certificate, Path key, Optional<Path> clients) {
    }

    /**
     * A user that may connect.
     *
     * @param secret absent: the user can log in only with a client certificate
     * @param tenant the tenant of its messages; empty: a header of each message names it
     * @param publish the exchanges that it may publish to
     * @param consume the queues that it may consume
     */
    public record User(String name, Optional<Secret> secret, String tenant, Set<String> publish, Set<String> consume) {
    }

    /** A queue, whose consumers are endpoints of this destination. */
    public record Queue(String name, long destination, String kind, String zone) {
    }

    /** TLS towards another broker: the trusted CA, and the client certificate and key if the broker requires them. */
    public record ClientTls(Path trust, Optional<Path> certificate, Optional<Path> key) {
    }

    /**
     * Another broker that the sender connects to.
     *
     * @param password absent: the client certificate identifies the sender
     */
    public record Broker(String name, InetSocketAddress address, String virtualHost, String user,
            Optional<String> password, Optional<ClientTls> tls) {
        /** The SASL mechanism for the login. */
        public String mechanism() {
            return password.isPresent() ? "PLAIN" : "EXTERNAL";
        }

        /** The SASL response for the login; it contains the password. */
        public String response() {
            return password.map(secret -> "\0" + user + "\0" + secret).orElse("");
        }

        /** Omits the password. */
        @Override
        public String toString() {
            return name + " at " + address;
        }
    }

    /** Messages for the queue's destination are published to this broker; {@code inFlight}: the most unconfirmed ones. */
    public record Outbound(Broker broker, String exchange, String key, Queue queue, int inFlight) {
    }

    /** Deliveries of a queue of this broker are submitted as messages of this user, by the routes of this exchange. */
    public record Inbound(Broker broker, String queue, String exchange, User user, int prefetch) {
    }

    /**
     * Limits.
     *
     * @param connections the most client connections
     * @param bodyOctets the largest message body
     * @param perConnection the unsettled publishes of a connection at which it is paused, {@code total}: of all connections
     * @param prefetch the most unsettled deliveries of one consumer
     * @param ackMs a delivery that is unsettled for longer closes its channel
     * @param awayMs how long a consumer that left is remembered
     * @param knownIds a message-id that is published again within this number of messages is recognized as a duplicate
     */
    public record Limits(int connections, Tuning tuning, int bodyOctets, Backpressure.Load perConnection,
            Backpressure.Load total, int prefetch, long ackMs, long awayMs, int knownIds) {
    }

    /** Reads the file. An error names file, line, column and a correction. */
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
            Queue queue = new Queue(q.text("name"), destination(q), oneOfKnown(q, "kind", known.kinds()),
                    oneOfKnown(q, "zone", known.zones()));
            if (queues.put(queue.name(), queue) != null) {
                throw q.error("name", "is defined twice; keep one queue of this name");
            }
        }
        Map<String, User> users = new LinkedHashMap<>();
        for (Section u : file.sections("users")) {
            User user = user(u, known, routes, queues);
            if (users.put(user.name(), user) != null) {
                throw u.error("name", "is defined twice; keep one user of this name");
            }
        }
        if (users.isEmpty()) {
            throw file.error("users", "defines no user; write `- {name: ..., secret: ...}` for each user that may connect");
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
                    destination(o), oneOfKnown(o, "kind", known.kinds()), oneOfKnown(o, "zone", known.zones())),
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
                throw i.error("exchange", "names no exchange of this file: '" + i.text("exchange") + "'; its routes decide "
                        + "where its messages go: add it under `exchanges`");
            }
            Broker broker = broker(i, all.stream().map(Inbound::broker).toList());
            String tenant = i.text("tenant", "");
            if (!tenant.isEmpty()) {
                oneOfKnown(i, "tenant", known.tenants());
            }
            all.add(new Inbound(broker, i.text("queue"), i.text("exchange"), new User(broker.name(), Optional.empty(), tenant,
                    Set.of(), Set.of()), (int) i.integer("prefetch", 64, 1, 65_535)));
        }
        return all;
    }

    private static Broker broker(Section b, List<Broker> earlier) throws IOException, BadInput {
        String name = b.text("name");
        if (earlier.stream().anyMatch(other -> other.name().equals(name))) {
            throw b.error("name", "is defined twice; give each broker a unique name");
        }
        Optional<String> password = Optional.empty();
        if (b.has("password_file")) {
            Path file = b.path("password_file").orElseThrow();
            if (!Files.isReadable(file)) {
                throw b.error("password_file", "can't be read: " + file + "; write the secret there, readable only by the "
                        + "sender's user");
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
            throw b.error("password_file", "is missing; name a file that contains the secret, or a certificate under `tls`");
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
            routes.add(new RoutingTable.Route(r.text("key"), oneOfKnown(r, "class", known.classes()),
                    r.has("destination") ? destination(r) : 0, (int) r.integer("destination_word", 0, 1, 100)));
        }
        return routes;
    }

    private static long destination(Section s) throws BadInput {
        s.text("destination");
        return s.integer("destination", 0, 0, Long.MAX_VALUE);
    }

    private static String oneOfKnown(Section s, String key, List<String> names) throws BadInput {
        String defaultName = names.isEmpty() ? "" : names.get(0);
        return names.isEmpty() ? s.text(key, "") : s.oneOf(key, defaultName, Set.copyOf(names));
    }

    private static User user(Section u, KnownNames known, RoutingTable routes, Map<String, Queue> queues) throws BadInput {
        u.allowOnly("name", "secret", "tenant", "publish", "consume");
        Optional<Secret> secret = Optional.empty();
        if (u.has("secret")) {
            secret = Secret.parse(u.text("secret"));
            if (secret.isEmpty()) {
                throw u.error("secret", "is not a hashed secret; create one with `bin/slipfield amqp secret`");
            }
        }
        String tenant = u.text("tenant", "");
        if (!tenant.isEmpty()) {
            oneOfKnown(u, "tenant", known.tenants());
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
                    new Backpressure.Load(2000, 4 << 20), 64, 60_000, 30_000, DEFAULT_KNOWN_IDS);
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
                (int) l.integer("prefetch", 64, 1, 65_535), l.millis("ack_within", 60_000, 1000, MAX_MS),
                l.millis("away", 30_000, 0, MAX_MS), (int) l.integer("known_ids", DEFAULT_KNOWN_IDS, 4096, 10_000_000));
    }
}

package slipfield.standin;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import slipfield.config.Config;

/** All that a sender meets, on free ports of the loopback: venues, an agent, desks; and its configuration. */
public final class TrialWorld implements AutoCloseable {
    /** A class whose orders venues know by their key, one that must not run twice, and who hands them in. */
    public static final String KEYED = "order";
    public static final String ONCE = "once";
    public static final String TENANT = "desk";
    /** Venues drop a repeat of a key for so long. */
    public static final long WINDOW_MS = 10_000;
    private static final long AIM_MS = 2000;
    private static final int SERVERS = 3;
    private static final int AGENTS = 2;
    /** The venues' name in Consul. */
    private static final String SERVICE = "venue";
    /** The operator's file of sources, in the folder. */
    static final String MEMBERS = "members.yaml";

    /**
     * What a run is of.
     *
     * @param venues how many venues
     * @param venuePerSecond orders a second that each takes
     * @param serviceMicros how long each takes over an order
     * @param giveUpMs how long an order may take
     * @param mostOpen messages that the sender holds at most
     * @param slots attempts that it has out at most
     */
    public record Size(int venues, double venuePerSecond, long serviceMicros, long giveUpMs, int mostOpen,
            int slots) {
    }

    /**
     * One thread is the desks' alone, the others are the venues' and the agent's: under full load a stand-in must not
     * be what bounds the sender.
     */
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(SERVERS, NioIoHandler.newFactory());
    private final EventLoopGroup handingIn = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Ledger ledger;
    private final ConsulCluster consul = new ConsulCluster();
    private final List<ConsulAgent> agents = new ArrayList<>();
    private final List<Venue> venues = new ArrayList<>();
    /** The agent of each sender. */
    private final List<Platform> platforms = new ArrayList<>();
    private final Wiring wiring;
    private final Path folder;
    /** Where each sender listens: leased for as long as the world stands, since nobody listens there while its sender is away. */
    private final List<PortLease> ports = new ArrayList<>();
    /** Those of each sender. */
    private final List<Desks> desks = new ArrayList<>();

    /** Builds it, and writes the sender's {@code config.json} into this folder. */
    public TrialWorld(Path folder, Size size) throws IOException {
        this(folder, size, Optional.empty());
    }

    /**
     * The same with Consul: two agents, at which the venues are registered under their ids; the sender's {@code
     * members.yaml} is in the folder too.
     *
     * @param membership the file's {@code precedence}, {@code rules} and so on, as YAML; empty: no Consul
     */
    public TrialWorld(Path folder, Size size, Optional<String> membership) throws IOException {
        this(folder, size, membership, 1);
    }

    /** What lies between senders and those that they meet. */
    public interface Wiring {
        /** Nothing: they meet at once. */
        Wiring NONE = new Wiring() {
            @Override
            public InetSocketAddress venue(int sender, Venue venue) {
                return venue.address();
            }

            @Override
            public Optional<Peers> peers(int sender) {
                return Optional.empty();
            }
        };

        /** Where a sender finds a venue. */
        InetSocketAddress venue(int sender, Venue venue);

        /** How a sender finds the others, if at all. */
        Optional<Peers> peers(int sender);
    }

    /** Where a sender listens for notes, where it finds each sender by number, itself among them, and where all. */
    public record Peers(InetSocketAddress listen, List<InetSocketAddress> each, InetSocketAddress all) {
    }

    /** The same for so many senders, each with desks and, where they are several, a folder of its own: {@link #folder}. */
    public TrialWorld(Path folder, Size size, Optional<String> membership, int fleet) throws IOException {
        this(folder, size, membership, fleet, 1, Wiring.NONE, Witness.NOBODY);
    }

    /** The same with venues of so many destinations in turn, what lies between, and who watches. */
    public TrialWorld(Path folder, Size size, Optional<String> membership, int fleet, int destinations, Wiring wiring,
            Witness witness) throws IOException {
        this.folder = folder;
        this.wiring = wiring;
        this.ledger = new Ledger(WINDOW_MS, witness);
        for (int i = 0; i < size.venues; i++) {
            venues.add(new Venue(group, "venue-" + i, i, Platform.DESTINATION + i % destinations, ledger, size.venuePerSecond,
                    size.serviceMicros));
        }
        for (int i = 0; i < fleet; i++) {
            int sender = i;
            platforms.add(new Platform(group, ledger, venues, i, venue -> wiring.venue(sender, venue)));
        }
        for (int i = 0; i < fleet; i++) {
            ports.add(PortLease.take());
        }
        for (int i = 0; i < fleet; i++) {
            desks.add(new Desks(handingIn.next(), i, ports.get(i).address(), ledger, size.giveUpMs, destinations));
            Files.createDirectories(folder(i));
            Files.writeString(folder(i).resolve("config.json"), config(size, i));
        }
        if (membership.isPresent()) {
            venues.forEach(this::register);
            for (int i = 0; i < AGENTS; i++) {
                agents.add(new ConsulAgent(group, consul));
            }
            String at = agents.stream().map(a -> "\"127.0.0.1:" + a.address().getPort() + "\"")
                    .collect(Collectors.joining(","));
            Files.writeString(folder.resolve(MEMBERS), membership.get() + "\nconsul:\n  agents: [" + at
                    + "]\n  services: [{name: " + SERVICE + ", kind: m, zone: a}]\n"
                    + "  register: {name: slipfield, ttl: 3s}\n");
        }
    }

    private void register(Venue venue) {
        consul.register(SERVICE, venue.id(), "127.0.0.1", venue.address().getPort(), List.of("orders"),
                Map.of("destination", Long.toString(Platform.DESTINATION)));
    }

    private String config(Size size, int number) {
        ObjectNode config = JsonMapper.builder().build().createObjectNode();
        config.put("name", "sender-" + number).put("listen", "127.0.0.1:" + ports.get(number).address().getPort())
                .put("discovery", "127.0.0.1:" + platforms.get(number).address().getPort()).put("seed", Integer.toString(number + 1));
        wiring.peers(number).ifPresent(peers -> {
            config.put("peer_listen", Config.hostPort(peers.listen())).put("peers_all", Config.hostPort(peers.all()));
            ArrayNode each = config.putArray("peers");
            peers.each().forEach(peer -> each.add(Config.hostPort(peer)));
        });
        config.putObject("limits").put("sockets", 2048).put("disk_mb", 12);
        ObjectNode settings = config.putObject("settings");
        ArrayNode classes = settings.putArray("classes");
        classes.addObject().put("name", KEYED).put("aim_ms", AIM_MS).put("give_up_ms", size.giveUpMs)
                .put("repeat", "keyed").put("window_ms", WINDOW_MS);
        classes.addObject().put("name", ONCE).put("aim_ms", AIM_MS).put("give_up_ms", size.giveUpMs)
                .put("repeat", "unsafe");
        settings.putArray("tenants").addObject().put("name", TENANT);
        settings.putArray("flavors").add("m");
        settings.putArray("zones").add("a");
        ObjectNode family = settings.putObject("family_info").put("workers", size.slots);
        family.putArray("batch_by_kind").add(1);
        family.putArray("separate_routes").add(false);
        settings.put("fleet_size", ports.size());
        settings.putObject("limits").put("most_tries", 6).put("second_copies", false).put("cancel", true)
                .put("max_open", size.mostOpen).put("dial_timeout_ms", 1000).put("keepalive_ms", 15_000);
        settings.putObject("rules").put("start_capacity", 0.2).put("warm_after_ms", 12_000).put("fall_multiple", 2)
                .put("fall_ms", 1500);
        return config.toPrettyString();
    }

    /** A free port that nobody else of this machine is given while this process lives: see {@link PortLease}. */
    public static InetSocketAddress freeAddress() throws IOException {
        return PortLease.take().address();
    }

    /** Where the clients of a sender connect to, by its number from 0. */
    public InetSocketAddress sender(int number) {
        return ports.get(number).address();
    }

    /** Where desks connect to; the first sender, where there are several. */
    public InetSocketAddress sender() {
        return sender(0);
    }

    /** The folder of a sender of several, by its number from 0. */
    public Path folder(int number) {
        return ports.size() == 1 ? folder : folder.resolve("sender-" + number);
    }

    /** What became of each order. */
    public Ledger ledger() {
        return ledger;
    }

    /** The venues. */
    public List<Venue> venues() {
        return venues;
    }

    /** The agent of a sender, by its number from 0. */
    public Platform platform(int number) {
        return platforms.get(number);
    }

    /** What Consul knows. */
    public ConsulCluster consul() {
        return consul;
    }

    /** Consul's agents, if the world has any. */
    public List<ConsulAgent> agents() {
        return agents;
    }

    /** The desks; the first sender's, where there are several. */
    public Desks desks() {
        return desks(0);
    }

    /** The desks of a sender, by its number from 0. */
    public Desks desks(int number) {
        return desks.get(number);
    }

    /** Waits until all that was taken has ended, for so long at most. */
    public void awaitEnds(long mostMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        // What is being taken now counts when its desk has heard so.
        while ((desks.stream().anyMatch(d -> d.unanswered() > 0) || !ledger.allEnded()) && System.nanoTime() < end) {
            Thread.sleep(20);
        }
    }

    @Override
    public void close() {
        desks.forEach(Desks::close);
        agents.forEach(ConsulAgent::close);
        venues.forEach(Venue::close);
        platforms.forEach(Platform::close);
        handingIn.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        ports.forEach(PortLease::close);
    }
}

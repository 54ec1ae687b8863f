package slipfield.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import slipfield.config.Config;
import slipfield.standin.AmqpPeers;
import slipfield.standin.ConsulAgent;
import slipfield.standin.Ledger;
import slipfield.standin.Platform;
import slipfield.standin.SenderProcess;
import slipfield.standin.TrialWorld;
import slipfield.standin.Venue;

/** The main job, on stand-ins: orders through the real sender, which is killed once, past a venue that falls silent. */
@Command(name = "try", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Runs the whole on this machine: the real sender, three stand-in venues, an agent and desks, on "
                + "free ports of the loopback. Kills the sender once and starts it again, and lets a venue fall "
                + "silent for a while. Ends with what became of each order.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:every order taken has exactly one end, none ran against its class", "1:not so",
            "2:the arguments can't be read"})
final class TryCommand implements Callable<Integer> {
    private static final int VENUES = 3;
    private static final long SERVICE_MICROS = 5000;
    private static final long GIVE_UP_MS = 8000;
    private static final long PAST_END_MS = 4000;
    /** Part of the run in which a venue is silent. */
    private static final double SILENT_FROM = 0.2;
    private static final double SILENT_TO = 0.6;
    /** With Consul: parts of the run in which a venue flaps, another is in maintenance, and Consul is away. */
    private static final double FLAPS_TO = 0.5;
    private static final double OUT_FROM = 0.7;
    private static final double OUT_TO = 0.85;
    private static final double AWAY_FROM = 0.4;
    private static final double AWAY_TO = 0.65;

    @Spec
    private CommandSpec spec;
    @Option(names = "--seconds", paramLabel = "N", defaultValue = "20",
            description = "How long desks hand in orders, 1 to 3600. Default: ${DEFAULT-VALUE}")
    private int seconds;
    @Option(names = "--rate", paramLabel = "N", defaultValue = "200",
            description = "Orders a second, 1 to 20000. Default: ${DEFAULT-VALUE}")
    private double rate;
    @Option(names = "--kill-at", paramLabel = "S", defaultValue = "-1",
            description = "SIGKILL to the sender after so many seconds; 0: never. Default: half of --seconds")
    private double killAt;
    @Option(names = "--consul", description = "Endpoints come from a stand-in Consul too: a venue flaps there every second, "
            + "another is put into maintenance, and Consul is away while the sender is started again.")
    private boolean consul;
    @Option(names = "--library", description = "Orders come by the client library, which follows each to its end; without "
            + "--json.")
    private boolean library;
    @Option(names = "--amqp", paramLabel = "HOST:PORT", description = "Opens AMQP there besides, with a user guest (password "
            + "guest), an exchange orders and a queue to-consume; the sender is not killed unless --kill-at says so.")
    private InetSocketAddress amqp;
    @Option(names = "--json", paramLabel = "FILE", description = "Writes the result there too.")
    private Path json;
    @Option(names = "--folder", paramLabel = "FOLDER",
            description = "Where configuration, journal and logs go. Default: a new folder that is deleted after a good "
                    + "run")
    private Path folder;
    /** With --library: who hands orders in. */
    private LibraryDesks desks;
    private boolean maintained;
    private boolean consulAway;

    @Override
    public Integer call() throws Exception {
        check(seconds >= 1 && seconds <= 3600, "--seconds is 1 to 3600");
        check(rate >= 1 && rate <= 20_000, "--rate is 1 to 20000");
        check(!library || json == null, "--library writes no --json");
        check(killAt < seconds, "--kill-at is before --seconds");
        boolean own = folder == null;
        Path at = own ? Files.createTempDirectory("slipfield-try") : folder;
        boolean good = run(at);
        if (own && good) {
            Folders.delete(at);
        } else {
            out().println("configuration, journal and logs are in " + at);
        }
        out().flush();
        return good ? 0 : 1;
    }

    private void check(boolean holds, String rule) {
        if (!holds) {
            throw new ParameterException(spec.commandLine(), rule);
        }
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private boolean run(Path at) throws IOException, InterruptedException {
        TrialWorld.Size size = new TrialWorld.Size(VENUES, Math.max(20, rate), SERVICE_MICROS, GIVE_UP_MS, 2000, 64);
        Optional<String> membership = consul ? Optional.of("precedence: [platform, consul]")
                : Optional.empty();
        try (TrialWorld world = new TrialWorld(at, size, membership);
                SenderProcess sender = new SenderProcess(at, List.of(), SenderProcess.SMALL)) {
            if (library) {
                Files.writeString(at.resolve("clients.yaml"), "reconnect_within: 300ms\nends: {keep: 1m}\n");
            }
            if (amqp != null) {
                Files.writeString(at.resolve("amqp.yaml"), AmqpPeers.file(amqp));
            }
            sender.start();
            if (amqp != null) {
                out().printf("AMQP 0-9-1 at %s, user guest, password guest. Publish to exchange %s with confirms: %s.%d goes to the "
                        + "venues, %s.%d to the consumers of queue %s.%nWho is connected: bin/slipfield amqp show %s%n",
                        Config.hostPort(amqp), AmqpPeers.EXCHANGE, TrialWorld.KEYED, Platform.DESTINATION, TrialWorld.KEYED,
                        AmqpPeers.CONSUMED, AmqpPeers.QUEUE, at.resolve("state"));
            }
            out().printf(Locale.ROOT, "The sender is up; %.0f orders a second for %d s.%n", rate, seconds);
            if (library) {
                return byLibrary(world, sender);
            }
            world.desks().atRate(rate);
            play(world, sender);
            world.desks().stop();
            world.awaitEnds(GIVE_UP_MS + PAST_END_MS);
            return verdict(world);
        }
    }

    private boolean byLibrary(TrialWorld world, SenderProcess sender) throws IOException, InterruptedException {
        Map<String, Integer> ends = new TreeMap<>();
        try (LibraryDesks byClient = new LibraryDesks(world.sender(), rate, GIVE_UP_MS)) {
            desks = byClient;
            play(world, sender);
            List<String> faults = byClient.faults(world.ledger(), ends);
            out().println();
            ends.forEach((end, many) -> out().printf("%-12s %8d%n", end, many));
            faults.stream().limit(10).forEach(out()::println);
            out().println(faults.isEmpty() ? "GOOD: every order has one end that agrees with the venues, none ran against its class."
                    : "BAD: see above.");
            return faults.isEmpty() && ends.getOrDefault("delivered", 0) > 0;
        }
    }

    private void play(TrialWorld world, SenderProcess sender) throws IOException, InterruptedException {
        double kill = killAt >= 0 ? killAt : amqp == null ? seconds / 2.0 : 0;
        Venue moody = world.venues().get(0);
        long begun = System.nanoTime();
        boolean killed = kill == 0;
        double nextLine = 1;
        for (double t = 0; t < seconds; t = (System.nanoTime() - begun) / 1e9) {
            boolean silent = t >= SILENT_FROM * seconds && t < SILENT_TO * seconds;
            moody.mood(silent ? Venue.Mood.SILENT : Venue.Mood.UP);
            if (consul) {
                flip(world, t / seconds, t);
            }
            if (!killed && t >= kill) {
                killed = true;
                sender.kill();
                out().printf(Locale.ROOT, "%5.1f s  the sender is killed (SIGKILL) and started again%n", t);
                sender.start();
            }
            if (t >= nextLine) {
                line(world, t);
                nextLine = Math.floor(t) + 1;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        moody.mood(Venue.Mood.UP);
    }

    private void line(TrialWorld world, double t) {
        Ledger.Account a = world.ledger().account();
        Histogram latency = world.ledger().latency();
        String venues = world.venues().stream().map(v -> v.id() + " " + v.mood().name().toLowerCase(Locale.ROOT))
                .collect(Collectors.joining(", "));
        if (desks != null) {
            out().printf(Locale.ROOT, "%5.1f s  %s  %s%n", t, desks.soFar(), venues);
            out().flush();
            return;
        }
        out().printf(Locale.ROOT, "%5.1f s  taken %d  delivered %d  refused %d  failed %d  p50 %.1f ms  p99 %.1f ms  %s%n",
                t, a.taken(), a.delivered(), a.refused(), a.failed(), latency.getValueAtPercentile(50) / 1e3,
                latency.getValueAtPercentile(99) / 1e3, venues);
        out().flush();
    }

    /** Consul at this part of the run. */
    private void flip(TrialWorld world, double part, double t) {
        boolean flaps = part < FLAPS_TO && (long) t % 2 == 1;
        world.consul().serviceCheck(world.venues().get(1).id(), flaps ? "critical" : "passing");
        boolean out = part >= OUT_FROM && part < OUT_TO;
        if (out != maintained) {
            maintained = out;
            world.consul().maintenance(world.venues().get(2).id(), out, "try");
            out().printf(Locale.ROOT, "%5.1f s  venue-2 is %s maintenance in Consul%n", t, out ? "in" : "out of");
        }
        boolean away = part >= AWAY_FROM && part < AWAY_TO;
        if (away != consulAway) {
            consulAway = away;
            world.agents().forEach(a -> a.fault(away ? ConsulAgent.Fault.CLOSES : ConsulAgent.Fault.NONE));
            out().printf(Locale.ROOT, "%5.1f s  Consul is %s%n", t, away ? "away: its last view stands" : "back");
        }
    }

    private boolean verdict(TrialWorld world) throws IOException {
        Ledger.Account a = world.ledger().account();
        Histogram latency = world.ledger().latency();
        boolean good = a.holds() && a.delivered() > 0;
        out().printf(Locale.ROOT, """

                handed in    %8d   orders that desks sent
                turned away  %8d   refused at once: not taken
                not heard    %8d   the sender was away: may be held or not
                taken        %8d   202: an end is owed
                  delivered  %8d   a venue answered 200
                  refused    %8d   given back by a notice
                  failed     %8d   given up by a notice
                  lost       %8d   taken, and no end
                doubled      %8d   ran against their class
                repeats      %8d   dropped by venues, by their key
                latency      p50 %.1f ms, p99 %.1f ms, most %.1f ms, from hand-in to a venue's 200

                %s
                """, a.handedIn(), a.turnedAway(), a.unheard(), a.taken(), a.delivered(), a.refused(), a.failed(),
                a.lost(), a.doubled(), a.repeats(), latency.getValueAtPercentile(50) / 1e3,
                latency.getValueAtPercentile(99) / 1e3, latency.getMaxValue() / 1e3,
                good ? "GOOD: every order taken has exactly one end, and none ran against its class."
                        : "BAD: see above.");
        if (json != null) {
            ObjectNode result = JsonMapper.builder().build().createObjectNode().put("good", good)
                    .put("handed_in", a.handedIn()).put("turned_away", a.turnedAway()).put("not_heard", a.unheard())
                    .put("taken", a.taken()).put("delivered", a.delivered()).put("refused", a.refused())
                    .put("failed", a.failed()).put("lost", a.lost()).put("doubled", a.doubled())
                    .put("repeats", a.repeats()).put("p50_ms", latency.getValueAtPercentile(50) / 1e3)
                    .put("p99_ms", latency.getValueAtPercentile(99) / 1e3);
            Files.writeString(json, result.toPrettyString() + "\n");
        }
        return good;
    }
}

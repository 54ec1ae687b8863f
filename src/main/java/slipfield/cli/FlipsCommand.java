package slipfield.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import slipfield.standin.ConsulAgent;
import slipfield.standin.Ledger;
import slipfield.standin.SenderProcess;
import slipfield.standin.TrialWorld;
import slipfield.standin.Venue;

/** How soon a change in Consul is obeyed. */
@Command(name = "flips", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Measures, on stand-ins, the time from a venue's turning critical or into maintenance in Consul to "
                + "the last new order that reaches it, while desks hand in orders without a break.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:no flip took over 2 s, and every order has its one end", "1:not so"})
final class FlipsCommand implements Callable<Integer> {
    private static final int VENUES = 6;
    private static final long GIVE_UP_MS = 8000;
    private static final long LOOK_MS = 30;
    private static final long SETTLE_MS = 2000;
    private static final int CHANGES = 20;
    private static final long CHANGE_MS = 200;
    private static final long RULE_MICROS = 2_000_000;
    private static final String MEMBERSHIP = """
            precedence: [platform, consul]
            rules: {steady: 50ms, most_steady: 100ms, forgive: 200ms, window: 0s}""";

    @Spec
    private CommandSpec spec;
    @Option(names = "--count", paramLabel = "N", defaultValue = "500", description = "Default: ${DEFAULT-VALUE}")
    private int count;
    @Option(names = "--rate", paramLabel = "N", defaultValue = "1000",
            description = "Orders a second. 0: each of 64 desks its next one at once. Default: ${DEFAULT-VALUE}")
    private double rate;
    @Option(names = "--watch-ms", paramLabel = "N", defaultValue = "250",
            description = "How long a venue is looked at after its flip. Default: ${DEFAULT-VALUE}")
    private long watchMs;
    @Option(names = "--extra", paramLabel = "N", defaultValue = "0",
            description = "So many further endpoints, of another destination: before the flips, what they cost is measured. "
                    + "Default: ${DEFAULT-VALUE}")
    private int extra;
    @Option(names = "--at-once", paramLabel = "N", defaultValue = "200",
            description = "So many of them change at once. Default: ${DEFAULT-VALUE}")
    private int atOnce;
    @Option(names = "--cpu", paramLabel = "C", description = "Pins the sender to this core, by taskset.")
    private Integer cpu;

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createTempDirectory("slipfield-flips");
        TrialWorld.Size size = new TrialWorld.Size(VENUES, 1e6, 0, GIVE_UP_MS, 2000, 64);
        try (TrialWorld world = new TrialWorld(folder, size, Optional.of(MEMBERSHIP));
                SenderProcess sender = new SenderProcess(folder, SenderProcess.pinned(cpu), SenderProcess.SMALL)) {
            List<String> ids = register(world);
            sender.start();
            if (extra > 0) {
                cost(world, sender, ids);
            }
            if (rate > 0) {
                world.desks().atRate(rate);
            } else {
                world.desks().oneAfterAnother(64);
            }
            return measure(world) ? 0 : 1;
        } finally {
            Folders.delete(folder);
        }
    }

    private List<String> register(TrialWorld world) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < extra; i++) {
            ids.add("extra-" + i);
            world.consul().register("venue", "extra-" + i, "127.1." + i / 200 + "." + i % 200, 9000, List.of("orders"),
                    Map.of("destination", "2"));
        }
        return ids;
    }

    /** CPU of the sender while nothing changes, and for a change of many at once; its memory and its watches. */
    private void cost(TrialWorld world, SenderProcess sender, List<String> ids)
            throws InterruptedException, IOException {
        Thread.sleep(SETTLE_MS);
        change(world, sender, ids);
        long idle = cpu(sender, () -> Thread.sleep(CHANGES * CHANGE_MS));
        long changing = change(world, sender, ids);
        int watches = world.agents().stream().mapToInt(ConsulAgent::blocked).sum();
        PrintWriter out = spec.commandLine().getOut();
        out.printf(Locale.ROOT, "%d further endpoints: %.1f MB resident, %d connections that watch, %.1f ms CPU a second "
                + "while nothing changes, %.2f ms CPU more for each change of %d%n", extra,
                sender.residentKb().orElse(0L) / 1024.0, watches, idle / 1e3 / (CHANGES * CHANGE_MS / 1e3),
                (changing - idle) / 1e3 / CHANGES, Math.min(atOnce, extra));
        out.flush();
    }

    private long change(TrialWorld world, SenderProcess sender, List<String> ids) throws InterruptedException {
        List<String> some = ids.subList(0, Math.min(atOnce, extra));
        return cpu(sender, () -> {
            for (int i = 0; i < CHANGES; i++) {
                world.consul().checks(some, i % 2 == 0 ? "critical" : "passing");
                Thread.sleep(CHANGE_MS);
            }
        });
    }

    private interface Work {
        void run() throws InterruptedException;
    }

    private static long cpu(SenderProcess sender, Work work) throws InterruptedException {
        long before = sender.cpuMicros().orElse(0L);
        work.run();
        return sender.cpuMicros().orElse(0L) - before;
    }

    private boolean measure(TrialWorld world) throws InterruptedException {
        Histogram micros = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);
        int unseen = 0;
        for (int i = 0; i < count; i++) {
            Venue venue = busiest(world);
            boolean maintenance = i % 2 == 1;
            long before = venue.asked();
            long flipped = System.nanoTime();
            set(world, venue, maintenance, true);
            Thread.sleep(watchMs);
            if (venue.asked() > before && venue.askedNanos() > flipped) {
                micros.recordValue((venue.askedNanos() - flipped) / 1000);
            } else {
                unseen++;
                micros.recordValue(0);
            }
            set(world, venue, maintenance, false);
        }
        world.desks().stop();
        world.awaitEnds(GIVE_UP_MS);
        Ledger.Account a = world.ledger().account();
        PrintWriter out = spec.commandLine().getOut();
        out.printf(Locale.ROOT, "%d flips, %d with no order after them; to the last new order: p50 %.1f ms, p99 %.1f ms, "
                + "most %.1f ms%n", count, unseen, micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(99) / 1e3, micros.getMaxValue() / 1e3);
        out.printf("taken %d, delivered %d, refused %d, failed %d, lost %d, doubled %d%n", a.taken(), a.delivered(),
                a.refused(), a.failed(), a.lost(), a.doubled());
        out.flush();
        return micros.getMaxValue() < RULE_MICROS && a.holds();
    }

    /** The venue that has got the most orders in a short time: one that gets none could not be seen to lose them. */
    private static Venue busiest(TrialWorld world) throws InterruptedException {
        Map<Venue, Long> before = new HashMap<>();
        world.venues().forEach(v -> before.put(v, v.asked()));
        Thread.sleep(LOOK_MS);
        return world.venues().stream().max(Comparator.comparingLong(v -> v.asked() - before.get(v))).orElseThrow();
    }

    private static void set(TrialWorld world, Venue venue, boolean maintenance, boolean out) {
        if (maintenance) {
            world.consul().maintenance(venue.id(), out, "flip");
        } else {
            world.consul().serviceCheck(venue.id(), out ? "critical" : "passing");
        }
    }
}

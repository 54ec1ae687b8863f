package slipfield.cli;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import slipfield.standin.BaselineProcess;
import slipfield.standin.Ledger;
import slipfield.standin.SenderProcess;
import slipfield.standin.TrialWorld;

/** Load on the whole path, with the journal on. */
@Command(name = "bench", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Measures the whole path on stand-ins: orders a second, latency, and CPU microseconds an order, "
                + "with the journal on. Each desk hands in its next order when the last one has ended.")
final class BenchCommand implements Callable<Integer> {
    private static final long GIVE_UP_MS = 8000;

    @Spec
    private CommandSpec spec;
    @Option(names = "--seconds", paramLabel = "N", defaultValue = "10",
            description = "How long is measured. Default: ${DEFAULT-VALUE}")
    private int seconds;
    @Option(names = "--warm-up", paramLabel = "N", defaultValue = "5",
            description = "Seconds before that, not counted. Default: ${DEFAULT-VALUE}")
    private int warmUp;
    @Option(names = "--desks", paramLabel = "N", defaultValue = "64",
            description = "Connections that hand in. Default: ${DEFAULT-VALUE}")
    private int desks;
    @Option(names = "--cpu", paramLabel = "C",
            description = "Pins the sender to this core, by taskset; pin this command to others.")
    private Integer cpu;
    @Option(names = "--options", paramLabel = "FILE", description = "The sender's JVM options, such as "
            + "deploy/java.options. Default: the JVM's own")
    private Path options;

    @Option(names = "--baseline", description = "Measures a relay that keeps nothing and decides nothing beside the sender, "
            + "in turn, over like venues, and prints the ratio.")
    private boolean baseline;
    @Option(names = "--pairs", paramLabel = "N", defaultValue = "1",
            description = "With --baseline: how many times in turn. Default: ${DEFAULT-VALUE}")
    private int pairs;

    @Option(names = "--library", description = "Measures one client of the library in place of the desks: orders a second that "
            + "are taken, and what one costs it.")
    private boolean library;

    @Option(names = "--amqp", description = "Measures in turn, on the same core: the baseline, desks over HTTP, AMQP publishers to "
            + "venues over HTTP, and AMQP publishers to AMQP consumers; each confirmed from end to end.")
    private boolean amqp;

    @Option(names = "--resting", paramLabel = "N", description = "With --amqp: measures so many connections that do nothing, ten "
            + "channels each, in place of the rest.")
    private int resting;

    @Override
    public Integer call() throws Exception {
        if (amqp && resting > 0) {
            AmqpBench bench = new AmqpBench(spec.commandLine().getOut(), desks, warmUp, seconds);
            return (int) withSender(bench::prepare, (world, sender) -> bench.rest(resting, sender) < resting ? 1 : 0);
        }
        if (amqp) {
            AmqpBench bench = new AmqpBench(spec.commandLine().getOut(), desks, warmUp, seconds);
            bench.out().print("baseline:                  ");
            beside();
            bench.out().print("HTTP to HTTP:              ");
            sender();
            for (AmqpBench.To to : AmqpBench.To.values()) {
                withSender(bench::prepare, (world, sender) -> bench.run(to, sender));
            }
            return 0;
        }
        if (library) {
            return (int) withSender(folder -> { }, (world, sender) -> {
                new LibraryBench().run(spec.commandLine().getOut(), world.sender(), desks, warmUp, seconds);
                return 0;
            });
        }
        if (!baseline) {
            return sender() > 0 ? 0 : 1;
        }
        PrintWriter out = spec.commandLine().getOut();
        boolean good = true;
        for (int i = 0; i < pairs; i++) {
            out.print("baseline: ");
            double without = beside();
            out.print("sender:   ");
            double with = sender();
            good &= without > 0 && with > 0;
            out.printf(Locale.ROOT, "ratio:    %.2f of the baseline's orders a second%n", with / without);
            out.flush();
        }
        return good ? 0 : 1;
    }

    private double sender() throws Exception {
        return withSender(folder -> { }, (world, sender) -> run(world, sender::cpuMicros));
    }

    /** What comes before a sender's start, in its folder. */
    private interface Prepared {
        void in(Path folder) throws Exception;
    }

    /** What is measured of a sender that runs. */
    private interface OfSender {
        double of(TrialWorld world, SenderProcess sender) throws Exception;
    }

    private double withSender(Prepared before, OfSender measured) throws Exception {
        return in((folder, world) -> {
            before.in(folder);
            try (SenderProcess sender = new SenderProcess(folder, SenderProcess.pinned(cpu), jvm())) {
                sender.start();
                return measured.of(world, sender);
            }
        });
    }

    private double beside() throws Exception {
        return in((folder, world) -> {
            try (BaselineProcess relay = new BaselineProcess(folder, SenderProcess.pinned(cpu), jvm(), world.sender(),
                    world.venues())) {
                return run(world, relay::cpuMicros);
            }
        });
    }

    private List<String> jvm() {
        return options == null ? List.of() : List.of("@" + options.toAbsolutePath());
    }

    /** What is measured in a world of its own. */
    private interface Measured {
        double in(Path folder, TrialWorld world) throws Exception;
    }

    private static double in(Measured measured) throws Exception {
        Path folder = Files.createTempDirectory("slipfield-bench");
        TrialWorld.Size size = new TrialWorld.Size(4, 1e6, 0, GIVE_UP_MS, 2000, 256);
        try (TrialWorld world = new TrialWorld(folder, size)) {
            return measured.in(folder, world);
        } finally {
            Folders.delete(folder);
        }
    }

    /** Orders a second; negative where the account does not hold. */
    private double run(TrialWorld world, Supplier<Optional<Long>> cpuMicros) throws InterruptedException {
        world.desks().oneAfterAnother(desks);
        TimeUnit.SECONDS.sleep(warmUp);
        return measure(world, cpuMicros);
    }

    private double measure(TrialWorld world, Supplier<Optional<Long>> cpuMicros) throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        world.ledger().forgetLatency();
        long before = world.ledger().deliveredSoFar();
        long cpuBefore = cpuMicros.get().orElse(0L);
        long begun = System.nanoTime();
        TimeUnit.SECONDS.sleep(seconds);
        double took = (System.nanoTime() - begun) / 1e9;
        long delivered = world.ledger().deliveredSoFar() - before;
        long cpuUsed = cpuMicros.get().orElse(0L) - cpuBefore;
        Histogram latency = world.ledger().latency();
        world.desks().stop();
        world.awaitEnds(GIVE_UP_MS);
        Ledger.Account a = world.ledger().account();
        out.printf(Locale.ROOT, "%.0f orders a second, p50 %.2f ms, p99 %.2f ms, most %.1f ms, %.1f CPU microseconds an "
                + "order, %.2f cores%n", delivered / took, latency.getValueAtPercentile(50) / 1e3,
                latency.getValueAtPercentile(99) / 1e3, latency.getMaxValue() / 1e3,
                cpuUsed / (double) Math.max(1, delivered), cpuUsed / 1e6 / took);
        out.printf("turned away %d, refused %d, failed %d, lost %d, doubled %d%n", a.turnedAway(), a.refused(),
                a.failed(), a.lost(), a.doubled());
        out.flush();
        return a.holds() ? delivered / took : -1;
    }
}

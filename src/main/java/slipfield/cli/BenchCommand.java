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
import slipfield.standin.Ledger;
import slipfield.standin.ProxyProcess;
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

    @Option(names = "--proxy", paramLabel = "PROGRAM", description = "Measures HAProxy in place of the sender, over the "
            + "same venues: a plain proxy with retries, which keeps nothing. PROGRAM: haproxy, or its path")
    private String proxy;

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createTempDirectory("slipfield-bench");
        TrialWorld.Size size = new TrialWorld.Size(4, 1e6, 0, GIVE_UP_MS, 2000, 256);
        List<String> wrapper = SenderProcess.pinned(cpu);
        List<String> jvm = options == null ? List.of() : List.of("@" + options.toAbsolutePath());
        try (TrialWorld world = new TrialWorld(folder, size)) {
            if (proxy != null) {
                try (ProxyProcess beside = new ProxyProcess(folder, proxy, wrapper, world.sender(), world.venues())) {
                    return run(world, beside::cpuMicros);
                }
            }
            try (SenderProcess sender = new SenderProcess(folder, wrapper, jvm)) {
                sender.start();
                return run(world, sender::cpuMicros);
            }
        } finally {
            Folders.delete(folder);
        }
    }

    private int run(TrialWorld world, Supplier<Optional<Long>> cpuMicros) throws InterruptedException {
        world.desks().oneAfterAnother(desks);
        TimeUnit.SECONDS.sleep(warmUp);
        return measure(world, cpuMicros) ? 0 : 1;
    }

    private boolean measure(TrialWorld world, Supplier<Optional<Long>> cpuMicros) throws InterruptedException {
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
        return a.holds();
    }
}

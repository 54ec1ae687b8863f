package slipfield.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import slipfield.standin.SenderProcess;
import slipfield.standin.TrialWorld;

/** A sender that dies and comes back, and all who connect to it again. */
@Command(name = "reconnects", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Kills a sender with many desks at it and starts it again: when each desk's connection stands again, and "
                + "the sender's CPU meanwhile. Desks of the client library first, then as many that connect again after "
                + "50 ms.")
final class ReconnectsCommand implements Callable<Integer> {
    private static final long AWAY_MS = 1000;
    private static final long EVERY_MS = 1000;
    private static final long PATIENCE_S = 90;

    @Spec
    private CommandSpec spec;
    @Option(names = "--clients", paramLabel = "N", defaultValue = "1000", description = "1 to 1200. Default: ${DEFAULT-VALUE}")
    private int clients;
    @Option(names = "--window", paramLabel = "MS", defaultValue = "3000",
            description = "Over what time the sender tells its clients to come back. Default: ${DEFAULT-VALUE}")
    private long windowMs;
    @Option(names = "--cpu", paramLabel = "C", description = "Pins the sender to this core, by taskset.")
    private Integer cpu;

    @Override
    public Integer call() throws Exception {
        boolean good = true;
        for (Habits.Whose whose : List.of(Habits.Whose.LIBRARY, Habits.Whose.FIXED)) {
            good &= run(whose);
        }
        return good ? 0 : 1;
    }

    private boolean run(Habits.Whose whose) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("slipfield-reconnects");
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        AtomicLongArray at = new AtomicLongArray(clients);
        try (TrialWorld world = new TrialWorld(folder, new TrialWorld.Size(4, 1e6, 1000, 12_000, 4000, 256));
                SenderProcess sender = new SenderProcess(folder, SenderProcess.pinned(cpu), SenderProcess.SMALL)) {
            Files.writeString(folder.resolve("clients.yaml"), "reconnect_within: " + windowMs + "ms\n");
            sender.start();
            try (Habits desks = new Habits(whose, group, world.sender(), clients,
                    desk -> at.compareAndSet(desk, 0, System.nanoTime()))) {
                for (int i = 0; i < clients; i++) {
                    orders(desks, group, i, 0);
                }
                boolean all = awaitAll(at);
                TimeUnit.MILLISECONDS.sleep(EVERY_MS);
                sender.kill();
                TimeUnit.MILLISECONDS.sleep(AWAY_MS);
                for (int i = 0; i < clients; i++) {
                    at.set(i, 0);
                }
                sender.start();
                long back = System.nanoTime();
                long cpuBefore = sender.cpuMicros().orElse(0L);
                TimeUnit.SECONDS.sleep(1);
                long cpuFirst = sender.cpuMicros().orElse(0L) - cpuBefore;
                all &= awaitAll(at);
                tell(whose, at, back, cpuFirst);
                return all;
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            Folders.delete(folder);
        }
    }

    /** Each desk hands in an order a second, so that it has a use for its connection. */
    private static void orders(Habits desks, EventLoopGroup group, int desk, int number) {
        desks.submit(desk, TrialWorld.KEYED, "k-" + desk + "-" + number, 9000, taken ->
                group.schedule(() -> orders(desks, group, desk, number + 1), EVERY_MS, TimeUnit.MILLISECONDS));
    }

    private static boolean awaitAll(AtomicLongArray at) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (System.nanoTime() < until) {
            int away = 0;
            for (int i = 0; i < at.length(); i++) {
                away += at.get(i) == 0 ? 1 : 0;
            }
            if (away == 0) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    private void tell(Habits.Whose whose, AtomicLongArray at, long back, long cpuFirst) {
        Histogram spread = new Histogram(TimeUnit.SECONDS.toMillis(2 * PATIENCE_S), 3);
        int[] tenths = new int[10 + 1];
        int left = 0;
        for (int i = 0; i < at.length(); i++) {
            if (at.get(i) == 0) {
                left++;
                continue;
            }
            long ms = Math.max(0, TimeUnit.NANOSECONDS.toMillis(at.get(i) - back));
            spread.recordValue(ms);
            tenths[(int) Math.min(10, ms * 10 / windowMs)]++;
        }
        PrintWriter out = spec.commandLine().getOut();
        out.printf(Locale.ROOT, "%s: connected again p10 %d, p50 %d, p90 %d, p99 %d, last %d ms after the sender; %d never; "
                + "sender's CPU in its first second %d ms%n", whose.name().toLowerCase(Locale.ROOT),
                spread.getValueAtPercentile(10), spread.getValueAtPercentile(50), spread.getValueAtPercentile(90),
                spread.getValueAtPercentile(99), spread.getMaxValue(), left, cpuFirst / 1000);
        StringBuilder line = new StringBuilder("  in each tenth of the window, and after it:");
        for (int n : tenths) {
            line.append(' ').append(n);
        }
        out.println(line);
        out.flush();
    }
}

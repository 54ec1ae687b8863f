package slipfield.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import slipfield.standin.SenderProcess;
import slipfield.standin.TrialWorld;

/** Orders through a sender that is killed and away for a while, by desks of several habits in turn. */
@Command(name = "outage", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Hands orders in while the sender is killed in the middle and away for a while: how many reach a venue, and "
                + "how many run against their class. By the client library, by desks that try again after 50 ms, and by "
                + "desks with exponential back-off and jitter, in turn.")
final class OutageCommand implements Callable<Integer> {
    private static final long WITHIN_MS = 11_000;
    private static final long WANTED_MS = 2000;
    private static final int DESKS = 16;

    @Spec
    private CommandSpec spec;
    @Option(names = "--seconds", paramLabel = "N", defaultValue = "9", description = "Of orders. Default: ${DEFAULT-VALUE}")
    private int seconds;
    @Option(names = "--rate", paramLabel = "N", defaultValue = "400", description = "Orders a second. Default: ${DEFAULT-VALUE}")
    private int rate;
    @Option(names = "--away", paramLabel = "MS", defaultValue = "3000", description = "Default: ${DEFAULT-VALUE}")
    private long awayMs;
    @Option(names = "--service", paramLabel = "MS", defaultValue = "50",
            description = "What a venue takes over an order: so many are out at the kill. Default: ${DEFAULT-VALUE}")
    private long serviceMs;

    @Override
    public Integer call() throws Exception {
        spec.commandLine().getOut().printf("%-9s %8s %8s %10s %8s %8s%n", "habit", "orders", "ran", "within 2 s", "doubled",
                "repeats");
        for (Habits.Whose whose : Habits.Whose.values()) {
            run(whose);
        }
        return 0;
    }

    private void run(Habits.Whose whose) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("slipfield-outage");
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        Map<String, Long> submitted = new HashMap<>();
        List<Thread> threads = new ArrayList<>();
        try (TrialWorld world = new TrialWorld(folder,
                new TrialWorld.Size(4, 1e6, serviceMs * 1000, WITHIN_MS + 1000, 4000, 256));
                SenderProcess sender = new SenderProcess(folder, List.of(), SenderProcess.SMALL)) {
            sender.start();
            try (Habits desks = new Habits(whose, group, world.sender(), DESKS, desk -> { })) {
                threads.add(new Thread(() -> outage(sender)));
                threads.get(0).start();
                long begun = System.nanoTime();
                long all = (long) seconds * rate;
                for (int i = 0; i < all; i++) {
                    long due = begun + TimeUnit.SECONDS.toNanos(i) / rate;
                    while (System.nanoTime() < due) {
                        TimeUnit.MILLISECONDS.sleep(1);
                    }
                    String type = i % 2 == 0 ? TrialWorld.KEYED : TrialWorld.ONCE;
                    String key = type + "-" + i;
                    submitted.put(key, System.nanoTime());
                    desks.submit(i % DESKS, type, key, WITHIN_MS, taken -> { });
                }
                threads.get(0).join();
                // What was taken has its end by then.
                TimeUnit.MILLISECONDS.sleep(WITHIN_MS + 2000);
            }
            tell(whose, world, submitted);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            Folders.delete(folder);
        }
    }

    private void outage(SenderProcess sender) {
        try {
            TimeUnit.MILLISECONDS.sleep(TimeUnit.SECONDS.toMillis(seconds) / 3);
            sender.kill();
            TimeUnit.MILLISECONDS.sleep(awayMs);
            sender.start();
        } catch (IOException | InterruptedException e) {
            spec.commandLine().getErr().println("the sender did not come back: " + e.getMessage());
        }
    }

    private void tell(Habits.Whose whose, TrialWorld world, Map<String, Long> submitted) {
        int ran = 0;
        int wanted = 0;
        int doubled = 0;
        int repeats = 0;
        for (Map.Entry<String, Long> order : submitted.entrySet()) {
            List<Long> runs = world.ledger().runs(order.getKey());
            if (runs.isEmpty()) {
                continue;
            }
            ran++;
            wanted += runs.get(0) - order.getValue() <= TimeUnit.MILLISECONDS.toNanos(WANTED_MS) ? 1 : 0;
            repeats += runs.size() - 1;
            boolean pastWindow = runs.get(runs.size() - 1) - runs.get(0) > TimeUnit.MILLISECONDS.toNanos(TrialWorld.WINDOW_MS);
            doubled += order.getKey().startsWith(TrialWorld.ONCE) ? runs.size() > 1 ? 1 : 0 : pastWindow ? 1 : 0;
        }
        spec.commandLine().getOut().printf("%-9s %8d %8d %10d %8d %8d%n", whose.name().toLowerCase(Locale.ROOT),
                submitted.size(), ran, wanted, doubled, repeats);
        spec.commandLine().getOut().flush();
    }
}

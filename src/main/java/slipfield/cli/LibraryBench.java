package slipfield.cli;

import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import slipfield.client.Client;
import slipfield.client.ClientSettings;
import slipfield.client.Order;
import slipfield.client.Senders;
import slipfield.client.decide.ClassRule;
import slipfield.client.decide.End;
import slipfield.client.decide.Rules;
import slipfield.standin.TrialWorld;

/** One client of the library over one pool of connections: orders a second, and what one costs it. */
final class LibraryBench {
    private static final int HELD = 10_000;
    private static final Map<String, ClassRule> CLASSES = Map.of(TrialWorld.KEYED, ClassRule.keyed(TrialWorld.WINDOW_MS));

    private final Recorder took = new Recorder(TimeUnit.SECONDS.toMicros(120), 3);
    private final AtomicLong taken = new AtomicLong();
    private final AtomicLong others = new AtomicLong();
    private final AtomicBoolean stopped = new AtomicBoolean();

    /** Each of so many orders is followed by the next when a sender has taken it. */
    void run(PrintWriter out, InetSocketAddress sender, int inFlight, int warmUp, int seconds) throws InterruptedException {
        try (Client client = client(Senders.of(List.of(sender)), inFlight)) {
            for (int i = 0; i < inFlight; i++) {
                next(client);
            }
            TimeUnit.SECONDS.sleep(warmUp);
            took.reset();
            long before = taken.get();
            long cpuBefore = cpuNanos();
            long begun = System.nanoTime();
            TimeUnit.SECONDS.sleep(seconds);
            double s = (System.nanoTime() - begun) / 1e9;
            long cpu = cpuNanos() - cpuBefore;
            long many = taken.get() - before;
            stopped.set(true);
            Histogram h = took.getIntervalHistogram();
            out.printf(Locale.ROOT, "library: %.0f orders a second taken, p50 %.2f ms, p99 %.2f ms, %.1f CPU microseconds an order "
                    + "of its thread; ended otherwise: %d%n", many / s, h.getValueAtPercentile(50) / 1e3,
                    h.getValueAtPercentile(99) / 1e3, cpu / 1e3 / Math.max(1, many), others.get());
        }
        out.printf(Locale.ROOT, "library: %d bytes of heap for an order that waits%n", held());
        out.flush();
    }

    private static Client client(Senders senders, int inFlight) {
        return new Client(new ClientSettings("bench", senders, CLASSES, Rules.DEFAULT.atMost(inFlight, inFlight)));
    }

    private static Order order() {
        return new Order(TrialWorld.KEYED, TrialWorld.TENANT, 1, new byte[50], Duration.ofSeconds(8));
    }

    private void next(Client client) {
        if (stopped.get()) {
            return;
        }
        long begun = System.nanoTime();
        BiConsumer<End, Throwable> ended = (end, never) -> {
            if (end instanceof End.Taken) {
                took.recordValue(Math.max(1, (System.nanoTime() - begun) / 1000));
                taken.incrementAndGet();
            } else {
                others.incrementAndGet();
            }
            next(client);
        };
        client.submit(order()).end().whenComplete(ended);
    }

    private static long cpuNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long cpu = 0;
        for (long id : threads.getAllThreadIds()) {
            if (threads.getThreadInfo(id) != null && threads.getThreadInfo(id).getThreadName().startsWith("slipfield-client")) {
                cpu += Math.max(0, threads.getThreadCpuTime(id));
            }
        }
        return cpu;
    }

    /** With no sender to be had, all that is submitted waits. */
    private static long held() throws InterruptedException {
        try (Client client = client(Senders.of(List.of()), 1)) {
            long before = used();
            for (int i = 0; i < HELD; i++) {
                client.submit(order());
            }
            TimeUnit.SECONDS.sleep(1);
            long after = used();
            return client.open() == HELD ? (after - before) / HELD : -1;
        }
    }

    private static long used() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}

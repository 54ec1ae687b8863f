package slipfield.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import slipfield.standin.AmqpPeers;
import slipfield.standin.Platform;
import slipfield.standin.SenderProcess;
import slipfield.standin.TrialWorld;

/** Publishes that are confirmed from end to end. */
final class AmqpBench {
    private static final int CONNECTIONS = 4;
    private static final int CONSUMERS = 4;
    private static final int CHANNELS = 10;
    private static final int LONGEST_OPENING_S = 120;

    /** Where they go. */
    enum To {
        VENUES, CONSUMERS
    }

    private final PrintWriter out;
    private final int window;
    private final int warmUp;
    private final int seconds;
    private InetSocketAddress address;

    /** {@code most}: messages out at one time, of all publishers. */
    AmqpBench(PrintWriter out, int most, int warmUp, int seconds) {
        this.out = out;
        this.window = Math.max(1, most / CONNECTIONS);
        this.warmUp = warmUp;
        this.seconds = seconds;
    }

    PrintWriter out() {
        return out;
    }

    /** Writes the sender's file into its folder. */
    void prepare(Path folder) throws IOException {
        address = TrialWorld.freeAddress();
        Files.writeString(folder.resolve("amqp.yaml"), AmqpPeers.file(address));
    }

    /** What connections cost that do nothing, with ten channels each; their memory is the system's, so that it only grows. */
    double rest(int connections, SenderProcess sender) throws InterruptedException, IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (AmqpPeers peers = new AmqpPeers(group.next(), address)) {
            long before = sender.residentKb().orElse(0L);
            long begun = System.nanoTime();
            peers.rest(connections, CHANNELS);
            while (peers.opened() < connections && System.nanoTime() - begun < TimeUnit.SECONDS.toNanos(LONGEST_OPENING_S)) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            double took = (System.nanoTime() - begun) / 1e9;
            long cpuBefore = sender.cpuMicros().orElse(0L);
            TimeUnit.SECONDS.sleep(seconds);
            out.printf(Locale.ROOT, "%d of %d connections with %d channels each, open after %.1f s; resident %d kB before, %d kB "
                    + "after; at rest %.3f cores%n", peers.opened(), connections, CHANNELS, took, before,
                    sender.residentKb().orElse(0L), (sender.cpuMicros().orElse(0L) - cpuBefore) / 1e6 / seconds);
            out.flush();
            return peers.opened();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    double run(To to, SenderProcess sender) throws InterruptedException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (AmqpPeers peers = new AmqpPeers(group.next(), address)) {
            if (to == To.CONSUMERS) {
                peers.consume(CONSUMERS, 256);
                while (peers.opened() < CONSUMERS) {
                    TimeUnit.MILLISECONDS.sleep(20);
                }
            }
            peers.publish(CONNECTIONS, window, to == To.CONSUMERS ? AmqpPeers.CONSUMED : Platform.DESTINATION);
            TimeUnit.SECONDS.sleep(warmUp);
            peers.latency();
            long before = peers.confirmed();
            long refusedBefore = peers.refused();
            long cpuBefore = sender.cpuMicros().orElse(0L);
            long begun = System.nanoTime();
            TimeUnit.SECONDS.sleep(seconds);
            double took = (System.nanoTime() - begun) / 1e9;
            long confirmed = peers.confirmed() - before;
            long cpu = sender.cpuMicros().orElse(0L) - cpuBefore;
            Histogram latency = peers.latency();
            out.printf(Locale.ROOT, "AMQP to %-18s %.0f confirmed a second, p50 %.2f ms, p99 %.2f ms, most %.1f ms, %.1f CPU "
                    + "microseconds each, %.2f cores, %d given back%n", to.name().toLowerCase(Locale.ROOT) + ":",
                    confirmed / took, latency.getValueAtPercentile(50) / 1e3, latency.getValueAtPercentile(99) / 1e3,
                    latency.getMaxValue() / 1e3, cpu / (double) Math.max(1, confirmed), cpu / 1e6 / took,
                    peers.refused() - refusedBefore);
            out.flush();
            peers.stop();
            return confirmed / took;
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}

package slipfield.trace;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Measures how the event loop uses its CPU time: by part, summed over a second, with the number of iterations in that second,
 * the longest iteration and the largest delay of a timer. Parts nest; time in an inner part is not counted for the outer one.
 * The report also has the CPU time of the process by thread name, as Linux counts it; on other systems that column is empty. All
 * methods are called on the event loop's thread.
 */
public final class Trace {
    /** A part of the event loop's work. */
    public enum Part {
        /** The delivery policy's iterations. */
        MODULE,
        /** Writing records of any kind to the journal. */
        JOURNAL,
        /** Decoding, checking and answering the requests of clients. */
        READS,
        /** Reading answers of endpoints, as far as they are available at once. */
        ANSWERS,
        /** Opening connections to endpoints. */
        CONNECTS,
        /** Writing calls to endpoints. */
        CALLS,
        /** Sending notices of final answers. */
        NOTICES
    }

    private static final long REPORT_NANOS = 1_000_000_000L;

    private final PrintStream out;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final long startNanos = System.nanoTime();
    private final Deque<Part> parts = new ArrayDeque<>();
    private final Map<Part, Long> cpuNanos = new EnumMap<>(Part.class);
    private Map<String, Long> processBefore = Map.of();
    private long bookedCpuNanos;
    private long loopCpuBefore;
    private long reportedNanos = startNanos;
    private long iterations;
    private long longestNanos;
    private double maxLateMs;

    /** Reports to this stream, one line per second while the event loop has work. */
    public Trace(PrintStream out) {
        this.out = out;
    }

    /** Counts the time from now on for this part, until {@link #leave}. */
    public void enter(Part part) {
        addCpuTime();
        parts.push(part);
    }

    /** Ends the part that was entered last. */
    public void leave() {
        addCpuTime();
        parts.pop();
    }

    private void addCpuTime() {
        long now = threads.getCurrentThreadCpuTime();
        if (!parts.isEmpty()) {
            cpuNanos.merge(parts.peek(), now - bookedCpuNanos, Long::sum);
        }
        bookedCpuNanos = now;
    }

    /** An event-loop iteration took this long, in ns of elapsed time. */
    public void iteration(long nanos) {
        iterations++;
        longestNanos = Math.max(longestNanos, nanos);
        long now = System.nanoTime();
        if (now - reportedNanos >= REPORT_NANOS) {
            report(now);
        }
    }

    /** A timer fired this many milliseconds late. */
    public void late(double ms) {
        maxLateMs = Math.max(maxLateMs, ms);
    }

    /**
     * Reports where the time of a message went that ended late.
     *
     * @param heldMs from its acceptance to its end, in milliseconds
     * @param dueMs from its deadline to its end, in milliseconds
     * @param waitedMs until its first attempt, or until its end if there was none, in milliseconds
     * @param sinceMs from its last attempt to its end, in milliseconds, or 0
     */
    public void lateEnd(String id, double heldMs, double dueMs, int attempts, double waitedMs, double sinceMs,
            String path) {
        line(String.format(Locale.ROOT, "late end of %s: pending for %.0f ms, %.0f ms past its deadline; %.0f ms before the "
                + "first of %d attempts, %.0f ms since the last; %s", id, heldMs, dueMs, waitedMs, attempts, sinceMs,
                path));
    }

    /**
     * Reports a notice that was acknowledged late.
     *
     * @param sinceEndMs how long after the message's end, in milliseconds
     * @param dueMs how long after the message's deadline, in milliseconds
     */
    public void lateNotice(String id, double sinceEndMs, double dueMs) {
        line(String.format(Locale.ROOT, "late notice of %s: acknowledged %.0f ms after its end, %.0f ms past its deadline",
                id, sinceEndMs, dueMs));
    }

    private void report(long now) {
        long loop = threads.getCurrentThreadCpuTime();
        StringBuilder text = new StringBuilder();
        text.append(String.format(Locale.ROOT, "iterations %d, longest %.0f ms, timers up to %.0f ms late; loop %.0f ms CPU:",
                iterations, longestNanos / 1e6, maxLateMs, (loop - loopCpuBefore) / 1e6));
        cpuNanos.forEach((part, nanos) -> text.append(String.format(Locale.ROOT, " %s %.0f",
                part.name().toLowerCase(Locale.ROOT), nanos / 1e6)));
        text.append("; process:");
        Map<String, Long> process = process();
        process.forEach((thread, nanos) -> text.append(String.format(Locale.ROOT, " %s %.0f", thread,
                (nanos - processBefore.getOrDefault(thread, 0L)) / 1e6)));
        line(text.toString());
        processBefore = process;
        loopCpuBefore = loop;
        reportedNanos = now;
        iterations = 0;
        longestNanos = 0;
        maxLateMs = 0;
        cpuNanos.clear();
    }

    private void line(String text) {
        out.printf(Locale.ROOT, "trace %.2f s %s%n", (System.nanoTime() - startNanos) / 1e9, text);
    }

    /** The CPU time of this process's threads so far, in nanoseconds, by thread name. */
    private static Map<String, Long> process() {
        Map<String, Long> all = new TreeMap<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc/self/task"))) {
            for (Path task : tasks) {
                String name = Files.readString(task.resolve("comm")).trim().replaceAll("[^A-Za-z0-9]+", "-");
                String[] spent = Files.readString(task.resolve("schedstat")).split(" ");
                all.merge(name, Long.parseLong(spent[0]), Long::sum);
            }
        } catch (IOException | NumberFormatException e) {
            // A thread has ended meanwhile, or this is not Linux: the time by part is reported without it.
            return all;
        }
        return all;
    }
}

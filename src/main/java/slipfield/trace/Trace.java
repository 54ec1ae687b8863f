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
 * Where the event loop's CPU goes: by part, summed over a second, with the turns of that second, the longest of
 * them and the latest that anything due was done. Parts nest; what runs within an inner one is not counted for
 * the outer. Beside it the CPU of the process by kind of thread, as Linux accounts for it; elsewhere that column
 * is empty. Called on the loop's thread only.
 */
public final class Trace {
    /** What the loop's time is spent on. */
    public enum Part {
        /** The decision module's turns. */
        MODULE,
        /** Records written to the journal, whatever they are of. */
        JOURNAL,
        /** What clients sent: decoded, checked, answered. */
        READS,
        /** Answers of endpoints, as far as they are read at once. */
        ANSWERS,
        /** Connections to endpoints begun. */
        CONNECTS,
        /** Calls to endpoints: writing. */
        CALLS,
        /** Notices of final answers. */
        NOTICES
    }

    private static final long REPORT_NANOS = 1_000_000_000L;

    private final PrintStream out;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final long begun = System.nanoTime();
    private final Deque<Part> parts = new ArrayDeque<>();
    private final Map<Part, Long> cpu = new EnumMap<>(Part.class);
    private Map<String, Long> processBefore = Map.of();
    private long cpuMark;
    private long loopBefore;
    private long reported = begun;
    private long turns;
    private long longestNanos;
    private double latestMs;

    /** Reports to this stream, a line a second while there are turns. */
    public Trace(PrintStream out) {
        this.out = out;
    }

    /** What follows is of this part, until {@link #leave}. */
    public void enter(Part part) {
        book();
        parts.push(part);
    }

    /** The part entered last is over. */
    public void leave() {
        book();
        parts.pop();
    }

    private void book() {
        long now = threads.getCurrentThreadCpuTime();
        if (!parts.isEmpty()) {
            cpu.merge(parts.peek(), now - cpuMark, Long::sum);
        }
        cpuMark = now;
    }

    /** A turn took so long, by the wall clock. */
    public void iteration(long nanos) {
        turns++;
        longestNanos = Math.max(longestNanos, nanos);
        long now = System.nanoTime();
        if (now - reported >= REPORT_NANOS) {
            report(now);
        }
    }

    /** Something that was due was done so many milliseconds later. */
    public void late(double ms) {
        latestMs = Math.max(latestMs, ms);
    }

    /**
     * A message was ended after its time, or close to it: where its time went. {@code waitedMs}: till its first
     * attempt, or its end where there was none; {@code sinceMs}: from its last attempt till its end, or 0.
     */
    public void lateEnd(String id, double heldMs, double dueMs, int attempts, double waitedMs, double sinceMs,
            String path) {
        line(String.format(Locale.ROOT, "late end of %s: held %.0f ms, %.0f ms past its end; %.0f ms before the "
                + "first of %d attempts, %.0f ms since the last; %s", id, heldMs, dueMs, waitedMs, attempts, sinceMs,
                path));
    }

    /** A notice was heard late: so long after the message's end, and so long after its time was up. */
    public void lateNotice(String id, double sinceEndMs, double dueMs) {
        line(String.format(Locale.ROOT, "late notice of %s: heard %.0f ms after its end, %.0f ms past its time", id,
                sinceEndMs, dueMs));
    }

    private void report(long now) {
        long loop = threads.getCurrentThreadCpuTime();
        StringBuilder text = new StringBuilder();
        text.append(String.format(Locale.ROOT, "turns %d, longest %.0f ms, latest %.0f ms; loop %.0f ms CPU:", turns,
                longestNanos / 1e6, latestMs, (loop - loopBefore) / 1e6));
        cpu.forEach((part, nanos) -> text.append(String.format(Locale.ROOT, " %s %.0f",
                part.name().toLowerCase(Locale.ROOT), nanos / 1e6)));
        text.append("; process:");
        Map<String, Long> process = process();
        process.forEach((thread, nanos) -> text.append(String.format(Locale.ROOT, " %s %.0f", thread,
                (nanos - processBefore.getOrDefault(thread, 0L)) / 1e6)));
        line(text.toString());
        processBefore = process;
        loopBefore = loop;
        reported = now;
        turns = 0;
        longestNanos = 0;
        latestMs = 0;
        cpu.clear();
    }

    private void line(String text) {
        out.printf(Locale.ROOT, "trace %.2f s %s%n", (System.nanoTime() - begun) / 1e9, text);
    }

    /** CPU nanoseconds of this process's threads so far, by name. */
    private static Map<String, Long> process() {
        Map<String, Long> all = new TreeMap<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc/self/task"))) {
            for (Path task : tasks) {
                String name = Files.readString(task.resolve("comm")).trim().replaceAll("[^A-Za-z0-9]+", "-");
                String[] spent = Files.readString(task.resolve("schedstat")).split(" ");
                all.merge(name, Long.parseLong(spent[0]), Long::sum);
            }
        } catch (IOException | NumberFormatException e) {
            // A thread that ended meanwhile, or no Linux: the account by part stands without it.
            return all;
        }
        return all;
    }
}

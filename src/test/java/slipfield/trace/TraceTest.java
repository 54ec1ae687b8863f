package slipfield.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class TraceTest {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final Trace trace = new Trace(new PrintStream(bytes, true, StandardCharsets.UTF_8));

    private List<String> lines() {
        return bytes.toString(StandardCharsets.UTF_8).lines().toList();
    }

    /** Uses up CPU, by what the thread has used, not by how long that took. */
    private static void work(long millis) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long until = threads.getCurrentThreadCpuTime() + millis * 1_000_000;
        while (threads.getCurrentThreadCpuTime() < until) {
            Thread.onSpinWait();
        }
    }

    private static long of(String part, String line) {
        Matcher found = Pattern.compile(" " + part + " (\\d+)").matcher(line);
        assertTrue(found.find(), line);
        return Long.parseLong(found.group(1));
    }

    @Test
    void whatRunsWithinAnInnerPartIsNotTheOuters() {
        trace.enter(Trace.Part.READS);
        work(30);
        trace.enter(Trace.Part.JOURNAL);
        work(300);
        trace.leave();
        trace.leave();
        Optional<String> report = Optional.empty();
        while (report.isEmpty()) {
            trace.late(12);
            trace.iteration(40_000_000);
            report = lines().stream().findFirst();
        }
        assertTrue(of("journal", report.get()) >= 300, report.get());
        assertTrue(of("reads", report.get()) >= 30 && of("reads", report.get()) < 300, report.get());
        assertTrue(report.get().contains("longest 40 ms, latest 12 ms"), report.get());
    }

    @Test
    void aLateEndSaysWhereItsTimeWent() {
        trace.lateEnd("o-1", 9000, 400, 2, 5200, 3100, "in service");
        trace.lateNotice("o-1", 80, 480);
        assertEquals(2, lines().size());
        assertTrue(lines().get(0).endsWith(
                "late end of o-1: held 9000 ms, 400 ms past its end; 5200 ms before the first of 2 attempts, 3100 ms "
                        + "since the last; in service"), lines().get(0));
        assertTrue(lines().get(1).endsWith("late notice of o-1: heard 80 ms after its end, 480 ms past its time"),
                lines().get(1));
    }
}

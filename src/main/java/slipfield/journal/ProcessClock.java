package slipfield.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import slipfield.log.Log;
import slipfield.retry.Retry;

/**
 * The wall clock as read at the start of the process, advanced from there by the monotonic clock: setting the wall clock
 * while the process runs moves no deadline. The machine's time since boot is read with it; from both, the process after a
 * restart computes how far the wall clock was set between the two starts.
 */
public final class ProcessClock {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

    /** How long reading the boot id is retried: without it, a process can't detect that the wall clock was set. */
    private static final long BOOT_ID_MS = 2000;

    /** Readings of both clocks that are further apart than this are repeated: the thread was held up between them. */
    private static final long MAX_READING_NANOS = TimeUnit.MICROSECONDS.toNanos(100);
    private static final int MAX_READINGS = 20;

    private final long wallStartNanos;
    private final long nanoStart;
    private final LongSupplier nanoTime;
    private final Reference reference;

    /** A clock that starts now at these readings; {@code boot} is 0 where boots can't be told apart. */
    public ProcessClock(long wallMs, long monoMs, long boot) {
        this(new Reading(System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(wallMs), 0), System::nanoTime,
                new Reference(wallMs, monoMs, boot));
    }

    private ProcessClock(Reading start, LongSupplier nanoTime, Reference reference) {
        this.wallStartNanos = start.wallNanos;
        this.nanoStart = start.monotonicNanos;
        this.nanoTime = nanoTime;
        this.reference = reference;
    }

    /** Reads the system's clocks now. */
    public static ProcessClock system() {
        long boot = 0;
        try {
            // On Linux nanoTime counts from boot, so it goes on in the next process.
            String id = Retry.within(BOOT_ID_MS, "boot id", () -> Files.readString(BOOT_ID)).trim();
            boot = Long.parseUnsignedLong(id.substring(0, 8) + id.substring(9, 13), 16);
        } catch (IOException | RuntimeException e) {
            Log.warn("clock.boot_unknown");
        }
        return start(System::nanoTime, ProcessClock::systemWallNanos, boot);
    }

    /** Starts a clock from these two, which return nanoseconds: of a monotonic clock, and since 1970. */
    static ProcessClock start(LongSupplier nanoTime, LongSupplier wallNanos, long boot) {
        Reading start = Reading.of(nanoTime, wallNanos);
        for (int i = 1; i < MAX_READINGS && start.durationNanos > MAX_READING_NANOS; i++) {
            Reading next = Reading.of(nanoTime, wallNanos);
            start = next.durationNanos < start.durationNanos ? next : start;
        }
        return new ProcessClock(start, nanoTime, new Reference(TimeUnit.NANOSECONDS.toMillis(start.wallNanos),
                TimeUnit.NANOSECONDS.toMillis(start.monotonicNanos), boot));
    }

    private static long systemWallNanos() {
        Instant now = Instant.now();
        return TimeUnit.SECONDS.toNanos(now.getEpochSecond()) + now.getNano();
    }

    /** Milliseconds since 1970, by this process's clock. */
    public long wallMs() {
        return TimeUnit.NANOSECONDS.toMillis(wallStartNanos + (nanoTime.getAsLong() - nanoStart));
    }

    /** The readings at the start, which the next process needs to convert this process's times. */
    public Reference reference() {
        return reference;
    }

    /** Both clocks, in ns, read one right after the other; {@code durationNanos}: how long that took. */
    private record Reading(long monotonicNanos, long wallNanos, long durationNanos) {
        static Reading of(LongSupplier nanoTime, LongSupplier wallNanos) {
            long before = nanoTime.getAsLong();
            long wall = wallNanos.getAsLong();
            return new Reading(before, wall, nanoTime.getAsLong() - before);
        }
    }

    /** The wall clock and the time since boot, both in ms, read at the same moment. */
    public record Reference(long wallMs, long monoMs, long boot) {
        /** Milliseconds to add to a time of this reference to get a time of {@code now}; 0 if the boots differ or are unknown. */
        long shiftTo(Reference now) {
            return boot == 0 || boot != now.boot ? 0 : now.wallMs - now.monoMs - (wallMs - monoMs);
        }
    }
}

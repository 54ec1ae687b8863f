package slipfield.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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

    private final long wallStart;
    private final long nanoStart;
    private final long monoStart;
    private final long boot;

    /** A clock that starts now at these readings; {@code boot} is 0 where boots can't be told apart. */
    public ProcessClock(long wallMs, long monoMs, long boot) {
        this.wallStart = wallMs;
        this.nanoStart = System.nanoTime();
        this.monoStart = monoMs;
        this.boot = boot;
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
        return new ProcessClock(System.currentTimeMillis(), System.nanoTime() / 1_000_000, boot);
    }

    /** Milliseconds since 1970, by this process's clock. */
    public long wallMs() {
        return wallStart + (System.nanoTime() - nanoStart) / 1_000_000;
    }

    /** The readings at the start, which the next process needs to convert this process's times. */
    public Reference reference() {
        return new Reference(wallStart, monoStart, boot);
    }

    /** The wall clock and the time since boot, both in ms, read at the same moment. */
    public record Reference(long wallMs, long monoMs, long boot) {
        /** Milliseconds to add to a time of this reference to get a time of {@code now}; 0 if the boots differ or are unknown. */
        long shiftTo(Reference now) {
            return boot == 0 || boot != now.boot ? 0 : now.wallMs - now.monoMs - (wallMs - monoMs);
        }
    }
}

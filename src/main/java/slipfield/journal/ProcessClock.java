package slipfield.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import slipfield.log.Log;
import slipfield.retry.Retry;

/**
 * The wall clock as it stood when this life began, going on evenly from there: one that is set back or on
 * meanwhile moves no deadline. Beside it the machine's own time since boot, by which the next life can tell how
 * far the wall clock was moved between the two.
 */
public final class ProcessClock {
    private static final Path BOOT = Path.of("/proc/sys/kernel/random/boot_id");

    /** For how long reading it is tried: a life that does not know its boot can't tell that the wall clock was set. */
    private static final long BOOT_MS = 2000;

    private final long wallStart;
    private final long nanoStart;
    private final long monoStart;
    private final long boot;

    /** What the system's clocks say; {@code boot} is 0 where boots can't be told apart. */
    public ProcessClock(long wallMs, long monoMs, long boot) {
        this.wallStart = wallMs;
        this.nanoStart = System.nanoTime();
        this.monoStart = monoMs;
        this.boot = boot;
    }

    /** The system's clocks now. */
    public static ProcessClock system() {
        long boot = 0;
        try {
            // On Linux nanoTime counts from boot, so it goes on in the next process.
            String id = Retry.within(BOOT_MS, "boot id", () -> Files.readString(BOOT)).trim();
            boot = Long.parseUnsignedLong(id.substring(0, 8) + id.substring(9, 13), 16);
        } catch (IOException | RuntimeException e) {
            Log.warn("clock.boot_unknown");
        }
        return new ProcessClock(System.currentTimeMillis(), System.nanoTime() / 1_000_000, boot);
    }

    /** Milliseconds since 1970, by this life's reckoning. */
    public long wallMs() {
        return wallStart + (System.nanoTime() - nanoStart) / 1_000_000;
    }

    /** What the next life needs to know of this reckoning. */
    public Reference reference() {
        return new Reference(wallStart, monoStart, boot);
    }

    /** A reckoning: the wall clock at a moment of the time since boot. */
    public record Reference(long wallMs, long monoMs, long boot) {
        /** What to add to a time of that reckoning for it to be of this one; 0 where that can't be told. */
        long shiftTo(Reference now) {
            return boot == 0 || boot != now.boot ? 0 : now.wallMs - now.monoMs - (wallMs - monoMs);
        }
    }
}

package slipfield.retry;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.util.concurrent.TimeUnit;
import slipfield.log.Log;

/** Retries a step of the startup until it succeeds or a time limit is over. Blocks, so it must not run on a live event loop. */
public final class Retry {
    /** How long a step may be retried during the startup, in ms. The platform allows 30 s for a start. */
    public static final long START_MS = 20_000;

    private static final long PAUSE_MS = 20;

    private Retry() {
    }

    /** A step of the startup that may fail. */
    public interface Step<T> {
        /** Runs the step. After a failure it must be safe to run again: no change may be left that affects the next run. */
        T run() throws IOException;
    }

    /**
     * Runs a step until it succeeds, and returns its result.
     *
     * @param maxMs for how long a failing step is retried
     * @param name the step's name in the log
     * @throws IOException the last failure once {@code maxMs} are over; at once if a file is missing or access is denied
     */
    public static <T> T within(long maxMs, String name, Step<T> step) throws IOException {
        long begun = System.nanoTime();
        long end = begun + TimeUnit.MILLISECONDS.toNanos(maxMs);
        for (int failed = 0;; failed++) {
            try {
                T result = step.run();
                if (failed > 0) {
                    Log.warn("start.went_on", "step", name, "failed", failed, "after_ms", msSince(begun));
                }
                return result;
            } catch (NoSuchFileException | AccessDeniedException e) {
                // Not a temporary failure.
                throw e;
            } catch (IOException e) {
                if (System.nanoTime() >= end) {
                    throw e;
                }
                if (failed == 0) {
                    Log.warn("start.tried_again", "step", name, "until_ms", maxMs, "cause", e);
                }
            }
            pause();
        }
    }

    private static long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}

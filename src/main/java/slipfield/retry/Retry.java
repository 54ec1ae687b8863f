package slipfield.retry;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.util.concurrent.TimeUnit;
import slipfield.log.Log;

/** Tries a step of a start again until it succeeds or its time is over. It blocks, so it is not for an event loop in service. */
public final class Retry {
    /** For how long a start bears a system that fails, in ms: the platform gives a start 30 s. */
    public static final long START_MS = 20_000;

    private static final long PAUSE_MS = 20;

    private Retry() {
    }

    /** A step that may fail. */
    public interface Step<T> {
        /** Does it, or fails having changed nothing that a further try would meet. */
        T run() throws IOException;
    }

    /** The step's result; its last failure once {@code mostMs} are over. {@code what} names it in the log. */
    public static <T> T within(long mostMs, String what, Step<T> step) throws IOException {
        long begun = System.nanoTime();
        long end = begun + TimeUnit.MILLISECONDS.toNanos(mostMs);
        for (int failed = 0;; failed++) {
            try {
                T result = step.run();
                if (failed > 0) {
                    Log.warn("start.went_on", "step", what, "failed", failed, "after_ms", msSince(begun));
                }
                return result;
            } catch (NoSuchFileException | AccessDeniedException e) {
                // No moment's failure.
                throw e;
            } catch (IOException e) {
                if (System.nanoTime() >= end) {
                    throw e;
                }
                if (failed == 0) {
                    Log.warn("start.tried_again", "step", what, "until_ms", mostMs, "cause", e);
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

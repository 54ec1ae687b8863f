package slipfield.log;

/**
 * Ends the process when a thread meets an {@link Error}, such as a lack of memory. After that the state of the program is not
 * known to be consistent, and libraries only log such an error or store it in a future, so that the process would stay without
 * doing its work. The next process continues from the journal.
 */
public final class FatalErrors {
    /** The exit code: EX_SOFTWARE in {@code sysexits.h}. */
    public static final int EXIT_CODE = 70;

    /** Programs that contain a sender, such as tests, are not ended: the error is only logged. */
    private static volatile Runnable termination = () -> { };

    private FatalErrors() {
    }

    /** From now on a fatal error on any thread ends this process at once, without its shutdown hooks. */
    public static void endProcess() {
        terminateBy(() -> Runtime.getRuntime().halt(EXIT_CODE));
        Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> {
            if (cause instanceof Error) {
                report(thread.getName(), cause);
            } else {
                Log.error("thread.fault", "thread", thread.getName(), "cause", cause);
            }
        });
    }

    /** Sets what a fatal error does after it was logged. */
    public static void terminateBy(Runnable newTermination) {
        termination = newTermination;
    }

    /** Handles an exception that a connection or a task ended with: an {@link Error} is fatal, others are not. */
    public static void check(String where, Throwable cause) {
        if (cause instanceof Error) {
            report(where, cause);
        }
    }

    /** Logs a fatal error and ends the process. */
    public static void report(String where, Throwable cause) {
        try {
            Log.error("process.fatal", "where", where, "cause", cause);
        } finally {
            termination.run();
        }
    }
}

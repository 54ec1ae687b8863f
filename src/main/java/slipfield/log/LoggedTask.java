package slipfield.log;

import java.util.Arrays;

/**
 * A task for a timer whose fault is told. An event loop keeps the exception of a scheduled task in a future that nobody looks at,
 * and runs a repeated task never again after one.
 */
public final class LoggedTask implements Runnable {
    /** Frames of the stack that are told. */
    private static final int FRAMES = 5;

    private final String name;
    private final Runnable task;

    private LoggedTask(String name, Runnable task) {
        this.name = name;
        this.task = task;
    }

    /** The task, by the name that its fault is told under. */
    public static Runnable of(String name, Runnable task) {
        return new LoggedTask(name, task);
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            Log.error("task.fault", "task", name, "cause", e, "at", Arrays.stream(e.getStackTrace()).limit(FRAMES).toList());
        }
    }
}

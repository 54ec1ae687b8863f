package slipfield.log;

import java.util.Arrays;

/**
 * A task for a timer that logs its exceptions. An event loop only stores the exception of a scheduled task in the task's future,
 * which nobody reads, and does not run a repeated task again after an exception.
 */
public final class LoggedTask implements Runnable {
    /** The number of stack frames that are logged. */
    private static final int FRAMES = 5;

    private final String name;
    private final Runnable task;

    private LoggedTask(String name, Runnable task) {
        this.name = name;
        this.task = task;
    }

    /** Wraps a task; its exceptions are logged under this name. */
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

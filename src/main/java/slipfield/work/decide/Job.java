package slipfield.work.decide;

import java.util.Set;

/**
 * A job of background work, which runs in one slice or in several.
 *
 * @param name for display
 * @param kind name of its kind of work, which the scheduler must know
 * @param dueMs the earliest time at which it may start
 * @param deadlineMs when it should be done: of jobs with equal rank the one with the earliest deadline runs first; infinite:
 *     no deadline
 * @param periodMs 0: it runs once; otherwise it is due again one period after it was due, and missed periods are skipped
 * @param jitter share of the period, 0 to 1: a random delay of up to that much is added to each period, so that not all jobs
 *     fall due at the same moment
 * @param after numbers of the jobs that must be done before
 */
public record Job(String name, String kind, double dueMs, double deadlineMs, double periodMs, double jitter, Set<Long> after) {
    /** Throws {@link IllegalArgumentException} for values out of range. */
    public Job {
        if (!(periodMs >= 0) || !(jitter >= 0) || jitter > 1 || Double.isNaN(dueMs) || Double.isNaN(deadlineMs)) {
            throw new IllegalArgumentException("invalid times of the job " + name);
        }
        after = Set.copyOf(after);
    }

    /** A job that runs once, as soon as budgets allow. */
    public static Job once(String name, String kind, double now) {
        return new Job(name, kind, now, Double.POSITIVE_INFINITY, 0, 0, Set.of());
    }

    /** A job that runs periodically, the first time after one period. */
    public static Job every(String name, String kind, double now, double periodMs, double jitter) {
        return new Job(name, kind, now + periodMs, Double.POSITIVE_INFINITY, periodMs, jitter, Set.of());
    }
}

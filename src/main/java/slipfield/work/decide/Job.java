package slipfield.work.decide;

import java.util.Set;

/**
 * Something to do, in one slice or many.
 *
 * @param name for people
 * @param kind one that the scheduler knows
 * @param dueMs when it may begin
 * @param deadlineMs when it should have ended: among equals the nearest goes first; infinite: no matter
 * @param periodMs 0: once; else it is due again so long after it was due, and periods that were missed are passed over
 * @param jitter share of the period, 0 to 1, by which it is drawn later: lest all fall due in one moment
 * @param after numbers of jobs that must have ended before
 */
public record Job(String name, String kind, double dueMs, double deadlineMs, double periodMs, double jitter, Set<Long> after) {
    /** Checks what no job can mean. */
    public Job {
        if (!(periodMs >= 0) || !(jitter >= 0) || jitter > 1 || Double.isNaN(dueMs) || Double.isNaN(deadlineMs)) {
            throw new IllegalArgumentException("no times for a job: " + name);
        }
        after = Set.copyOf(after);
    }

    /** One that is done once, as soon as there is room. */
    public static Job once(String name, String kind, double now) {
        return new Job(name, kind, now, Double.POSITIVE_INFINITY, 0, 0, Set.of());
    }

    /** One that is done again and again, the first time after one period. */
    public static Job every(String name, String kind, double now, double periodMs, double jitter) {
        return new Job(name, kind, now + periodMs, Double.POSITIVE_INFINITY, periodMs, jitter, Set.of());
    }
}

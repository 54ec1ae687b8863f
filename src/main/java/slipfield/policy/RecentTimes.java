package slipfield.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/** The times of the events of the last period, in milliseconds. */
final class RecentTimes {
    private final double periodMs;
    private final Deque<Double> times = new ArrayDeque<>();
    private int countAtLatest;

    RecentTimes(double periodMs) {
        this.periodMs = periodMs;
    }

    void add(double now) {
        times.add(now);
        trim(now);
        countAtLatest = times.size();
    }

    /** Returns the time of the latest event; empty if there was none, or if {@link #count} has found it too old. */
    OptionalDouble latest() {
        return times.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(times.getLast());
    }

    /** Returns the number of events in the period that ended with the latest event. */
    int countAtLatest() {
        return countAtLatest;
    }

    /** Returns the number of events in the period that ends {@code now}. */
    int count(double now) {
        trim(now);
        return times.size();
    }

    private void trim(double now) {
        while (!times.isEmpty() && times.peek() < now - periodMs) {
            times.remove();
        }
    }
}

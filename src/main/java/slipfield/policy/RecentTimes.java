package slipfield.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/** The times of the events of the last period, in milliseconds. */
final class RecentTimes {
    private final double periodMs;
    private final Deque<Double> times = new ArrayDeque<>();

    RecentTimes(double periodMs) {
        this.periodMs = periodMs;
    }

    void add(double now) {
        times.add(now);
        trim(now);
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

package slipfield.policy;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.DoubleConsumer;

/** Actions that are due at later times, and the wake-up that is requested for the next of them. */
final class Timers {
    private final TreeSet<Timer> due =
            new TreeSet<>(Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::number));
    private long nextNumber;
    private final DoubleConsumer wakeAt;
    private final double marginMs;
    private double requestedAt = Double.POSITIVE_INFINITY;

    /** An action and the time at which it is due; {@code number} orders timers of the same time. */
    record Timer(double at, long number, Runnable action) {
    }

    /** Requests wake-ups through {@code wakeAt}. A wake-up that comes up to {@code marginMs} early counts as having come. */
    Timers(DoubleConsumer wakeAt, double marginMs) {
        this.wakeAt = wakeAt;
        this.marginMs = marginMs;
    }

    /** Schedules an action for the time {@code at}. */
    Timer add(double at, Runnable action) {
        Timer timer = new Timer(at, nextNumber++, action);
        due.add(timer);
        return timer;
    }

    void cancel(Timer timer) {
        due.remove(timer);
    }

    /** Runs all actions that are due, in the order of their times, including those that they add. */
    void runDue(double now) {
        while (!due.isEmpty() && due.first().at() <= now) {
            due.pollFirst().action().run();
        }
    }

    /** Requests a wake-up for the next timer or for {@code otherAt}, whichever is first, unless an earlier one is pending. */
    void requestWake(double now, double otherAt) {
        double next = Math.min(otherAt, due.isEmpty() ? Double.POSITIVE_INFINITY : due.first().at());
        if (requestedAt <= now + marginMs || next < requestedAt) {
            requestedAt = next;
            if (next < Double.POSITIVE_INFINITY) {
                wakeAt.accept(next);
            }
        }
    }
}

package slipfield.policy;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.DoubleConsumer;

/** What is due later, and the one wake that is asked for it. */
final class Timers {
    private final TreeSet<Timer> due =
            new TreeSet<>(Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::number));
    private long count;
    private final DoubleConsumer wakeAt;
    private final double marginMs;
    private double asked = Double.POSITIVE_INFINITY;

    /** A time and what is due then. */
    record Timer(double at, long number, Runnable action) {
    }

    /** Wakes are asked of {@code wakeAt}; one counts as come that is at most {@code marginMs} early. */
    Timers(DoubleConsumer wakeAt, double marginMs) {
        this.wakeAt = wakeAt;
        this.marginMs = marginMs;
    }

    Timer add(double at, Runnable action) {
        Timer timer = new Timer(at, count++, action);
        due.add(timer);
        return timer;
    }

    void cancel(Timer timer) {
        due.remove(timer);
    }

    void run(double now) {
        while (!due.isEmpty() && due.first().at() <= now) {
            due.pollFirst().action().run();
        }
    }

    void ask(double now, double opening) {
        double next = Math.min(opening, due.isEmpty() ? Double.POSITIVE_INFINITY : due.first().at());
        if (asked <= now + marginMs || next < asked) {
            asked = next;
            if (next < Double.POSITIVE_INFINITY) {
                wakeAt.accept(next);
            }
        }
    }
}

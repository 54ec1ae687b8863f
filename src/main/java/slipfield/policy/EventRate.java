package slipfield.policy;

/** Measures a rate of events a millisecond, averaged with exponential decay over the time in which events were observed. */
final class EventRate {
    private static final double DECAY_MS = 10_000;
    /** A shorter observation counts as this long, since it says nothing about a rate. */
    private static final double MIN_OBSERVED_MS = 2000;

    private double events;
    private double observedMs;
    private double lastAt;

    /** Starts to observe at the time {@code now}, in milliseconds. */
    EventRate(double now) {
        this.lastAt = now;
    }

    void count(double now) {
        double remaining = Math.exp((lastAt - now) / DECAY_MS);
        events = events * remaining + 1;
        observedMs = observedMs * remaining + DECAY_MS * (1 - remaining);
        lastAt = now;
    }

    /** Continues the observation; the time since the last event is left out. */
    void resume(double now) {
        lastAt = now;
    }

    /** Returns whether any event was counted. */
    boolean isKnown() {
        return events > 0;
    }

    /** Returns the rate including the last event. If read right after an event, it is too high by that one event. */
    double perMs() {
        return events / Math.max(observedMs, MIN_OBSERVED_MS);
    }

    /** Returns the rate without the last event. If read right after an event, it is unbiased. */
    double perMsBeforeLast() {
        return Math.max(0, events - 1) / Math.max(observedMs, MIN_OBSERVED_MS);
    }
}

package slipfield.client.decide;

/** A sender as a client knows it: its connections, what it told, and how it did. */
final class Sender {
    /** Whether orders may go to it. */
    enum State {
        /** No connection; one is planned at {@link #connectMs}. */
        AWAY,
        /** A connection is being made, or asked whether the sender is ready. */
        TRIAL,
        /** It answers. */
        UP
    }

    private static final double LEAST_WEIGHT = 0.1;

    final String name;
    State state = State.AWAY;
    int idle;
    int busy;
    int connecting;
    /** AWAY: when the trial connection is made. UP: no further one before this. */
    long connectMs;
    /** Connects or looks at its readiness that failed in a row. */
    int failures;
    /** Hand-ins without an answer in a row, and times that it was left alone for them. */
    int unanswered;
    int ejections;
    long ejectedUntilMs = Long.MIN_VALUE;
    long drainingUntilMs = Long.MIN_VALUE;
    /** Since when it is up, or back after it was left alone. */
    long backMs;
    /** The window that it tells, in ms; negative: it told none. */
    long toldWindowMs = -1;
    /** It is on the list. */
    boolean listed = true;

    Sender(String name, long connectMs) {
        this.name = name;
        this.connectMs = connectMs;
    }

    int connections() {
        return idle + busy + connecting;
    }

    boolean ejected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /** It is up, on the list, and does not drain. */
    boolean serves(long nowMs) {
        return listed && state == State.UP && nowMs >= drainingUntilMs;
    }

    /** Its part of the load, from a tenth to one: it comes back slowly. */
    double weight(long nowMs, long returnMs) {
        return returnMs == 0 ? 1 : Math.max(LEAST_WEIGHT, Math.min(1, (nowMs - backMs) / (double) returnMs));
    }

    double load(long nowMs, long returnMs) {
        return (busy + 1) / weight(nowMs, returnMs);
    }
}

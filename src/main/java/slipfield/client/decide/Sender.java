package slipfield.client.decide;

/** A client's view of one sender: its connections, its state and its recent failures. */
final class Sender {
    /** The state of the connection to the sender. */
    enum State {
        /** No connection; the next one is opened at {@link #connectMs}. */
        DISCONNECTED,
        /** A first connection is being opened, or the sender is being asked on it whether it is ready. */
        PROBING,
        /** Connected and ready. */
        UP
    }

    private static final double MIN_WEIGHT = 0.1;

    final String name;
    State state = State.DISCONNECTED;
    int idle;
    int busy;
    int connecting;
    /** In DISCONNECTED: when the probe connection is opened. In UP: the earliest time of a further connection. */
    long connectMs;
    /** Consecutive connects or readiness checks that failed. */
    int failures;
    /** Consecutive submissions without an answer, and consecutive ejections because of them. */
    int unanswered;
    int ejections;
    long ejectedUntilMs = Long.MIN_VALUE;
    long drainingUntilMs = Long.MIN_VALUE;
    /** When it came up or its last ejection ends: its share of the load grows from then on. */
    long slowStartMs;
    /** The reconnect window that the sender reported, in ms; negative: none. */
    long reportedWindowMs = -1;
    /** Whether it is on the current sender list. */
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

    /** Whether it is listed, connected and not draining. */
    boolean isAvailable(long nowMs) {
        return listed && state == State.UP && nowMs >= drainingUntilMs;
    }

    /** Its share of the load, from 0.1 to 1: it grows linearly over {@code returnMs} after the sender came back. */
    double weight(long nowMs, long returnMs) {
        return returnMs == 0 ? 1 : Math.max(MIN_WEIGHT, Math.min(1, (nowMs - slowStartMs) / (double) returnMs));
    }

    /** Submissions in flight, one more included, relative to its weight. */
    double load(long nowMs, long returnMs) {
        return (busy + 1) / weight(nowMs, returnMs);
    }
}

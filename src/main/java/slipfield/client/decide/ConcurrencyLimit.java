package slipfield.client.decide;

/**
 * How many hand-ins may be out at once: grows by one for each round of answers that come as quickly as they can, and
 * shrinks where they come late, are refused, or do not come. (TCP Vegas, Brakmo and Peterson 1995: the queue is seen by the
 * time that it takes; AIMD, Chiu and Jain 1989.)
 */
final class ConcurrencyLimit {
    /** The quickest answer is forgotten after so long: what it came by may have changed. */
    private static final long MEMORY_MS = 10_000;
    /** One fault is many answers: it counts once in so long. */
    private static final long ONCE_MS = 200;
    /** Answers are late when they take so many times the quickest, and so many ms more. */
    private static final double LATE = 3;
    private static final double LATE_MS = 5;
    private static final double LATE_CUT = 0.9;
    private static final double PUSHED_CUT = 0.7;

    private final int least;
    private final int most;
    private double level;
    private double quickest = Double.MAX_VALUE;
    private double quickestBefore = Double.MAX_VALUE;
    private long turnedMs;
    private long cutMs = Long.MIN_VALUE / 2;

    ConcurrencyLimit(int least, int most, long nowMs) {
        this.least = least;
        this.most = most;
        this.level = Math.min(most, 4.0 * least);
        this.turnedMs = nowMs;
    }

    int level() {
        return (int) level;
    }

    /** One was answered after so long, when so many were out. */
    void answered(long nowMs, double tookMs, int out) {
        if (nowMs - turnedMs > MEMORY_MS) {
            quickestBefore = quickest;
            quickest = Double.MAX_VALUE;
            turnedMs = nowMs;
        }
        quickest = Math.min(quickest, tookMs);
        if (tookMs > LATE * Math.min(quickest, quickestBefore) + LATE_MS) {
            cut(nowMs, LATE_CUT);
        } else if (out >= level / 2) {
            level = Math.min(most, level + 1 / level);
        }
    }

    /** One was refused by a sender that has too much, or was not answered. */
    void pushedBack(long nowMs) {
        cut(nowMs, PUSHED_CUT);
    }

    private void cut(long nowMs, double to) {
        if (nowMs - cutMs >= ONCE_MS) {
            cutMs = nowMs;
            level = Math.max(least, level * to);
        }
    }
}

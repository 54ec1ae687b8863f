package slipfield.client.decide;

/**
 * Adaptive limit on the number of submissions in flight: additive increase, multiplicative decrease (Chiu and Jain 1989).
 * It grows by about one per round of quick answers and shrinks when answers are slow, overloaded senders refuse, or answers
 * fail to come. An answer is slow compared with the quickest recent one, since a queue shows as added latency (TCP Vegas,
 * Brakmo and Peterson 1995).
 */
final class ConcurrencyLimit {
    /** How often the quickest latency is measured afresh, since the path that it came over may have changed. */
    private static final long BASELINE_MS = 10_000;
    /** At most one reduction within this time: a single fault affects many answers at once. */
    private static final long REDUCTION_INTERVAL_MS = 200;
    /** An answer is slow if it takes more than SLOW_FACTOR times the quickest latency plus SLOW_MARGIN_MS. */
    private static final double SLOW_FACTOR = 3;
    private static final double SLOW_MARGIN_MS = 5;
    private static final double SLOW_REDUCTION = 0.9;
    private static final double OVERLOAD_REDUCTION = 0.7;

    private final int min;
    private final int max;
    private double limit;
    private double quickestMs = Double.MAX_VALUE;
    private double previousQuickestMs = Double.MAX_VALUE;
    private long baselineStartMs;
    private long reducedMs = Long.MIN_VALUE / 2;

    ConcurrencyLimit(int min, int max, long nowMs) {
        this.min = min;
        this.max = max;
        this.limit = Math.min(max, 4.0 * min);
        this.baselineStartMs = nowMs;
    }

    int limit() {
        return (int) limit;
    }

    /** Records an answer. {@code tookMs}: its latency; {@code inFlight}: submissions in flight when it came, itself included. */
    void onAnswer(long nowMs, double tookMs, int inFlight) {
        if (nowMs - baselineStartMs > BASELINE_MS) {
            previousQuickestMs = quickestMs;
            quickestMs = Double.MAX_VALUE;
            baselineStartMs = nowMs;
        }
        quickestMs = Math.min(quickestMs, tookMs);
        if (tookMs > SLOW_FACTOR * Math.min(quickestMs, previousQuickestMs) + SLOW_MARGIN_MS) {
            reduce(nowMs, SLOW_REDUCTION);
        } else if (inFlight >= limit / 2) {
            limit = Math.min(max, limit + 1 / limit);
        }
    }

    /** Records a submission that an overloaded sender refused, or that got no answer. */
    void onOverload(long nowMs) {
        reduce(nowMs, OVERLOAD_REDUCTION);
    }

    private void reduce(long nowMs, double factor) {
        if (nowMs - reducedMs >= REDUCTION_INTERVAL_MS) {
            reducedMs = nowMs;
            limit = Math.max(min, limit * factor);
        }
    }
}

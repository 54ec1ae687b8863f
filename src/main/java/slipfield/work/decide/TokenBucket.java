package slipfield.work.decide;

/**
 * A token bucket that may go into debt, since the cost of a slice is known only afterwards: no further slice starts until the
 * debt is paid. So over any span of time the usage is at most what the rate gives, plus the bucket's capacity, plus one slice.
 */
final class TokenBucket {
    private final double perMs;
    private final double capacity;
    private double tokens;
    private double filledMs;

    /** Starts full. {@code perMs}: tokens gained per millisecond, above 0. */
    TokenBucket(double perMs, double capacity, double now) {
        this.perMs = perMs;
        this.capacity = capacity;
        this.tokens = capacity;
        this.filledMs = now;
    }

    private void fill(double now) {
        if (now > filledMs) {
            tokens = Math.min(capacity, tokens + (now - filledMs) * perMs);
        }
        // If the clock was set back, nothing is added, and time counts from the new value on.
        filledMs = now;
    }

    /** Whether there are tokens, that is, no debt. */
    boolean hasTokens(double now) {
        fill(now);
        return tokens > 0;
    }

    /** Subtracts the cost of a slice; the bucket may go into debt. */
    void charge(double now, double cost) {
        fill(now);
        tokens -= cost;
    }

    /** When there will be tokens again; {@code now} if there are some. */
    double readyMs(double now) {
        fill(now);
        return tokens > 0 ? now : now + -tokens / perMs + Math.ulp(now) * 2;
    }

    double tokens() {
        return tokens;
    }
}

package slipfield.work.decide;

/**
 * A token bucket that may go into debt by what one slice takes, since that is known only afterwards: nothing more is given
 * until the debt is paid. So in any stretch of time no more is used than the rate gives, the bucket holds, and one slice.
 */
final class TokenBucket {
    private final double perMs;
    private final double most;
    private double tokens;
    private double filledMs;

    /** Full at the beginning; {@code perMs} above 0. */
    TokenBucket(double perMs, double most, double now) {
        this.perMs = perMs;
        this.most = most;
        this.tokens = most;
        this.filledMs = now;
    }

    private void fill(double now) {
        if (now > filledMs) {
            tokens = Math.min(most, tokens + (now - filledMs) * perMs);
        }
        // A time that went back fills nothing, and from there on it counts anew.
        filledMs = now;
    }

    boolean has(double now) {
        fill(now);
        return tokens > 0;
    }

    void take(double now, double used) {
        fill(now);
        tokens -= used;
    }

    /** When it has something again; now, if it has. */
    double readyMs(double now) {
        fill(now);
        return tokens > 0 ? now : now + -tokens / perMs + Math.ulp(now) * 2;
    }

    double tokens() {
        return tokens;
    }
}

package slipfield.client.decide;

/**
 * How many repeated hand-ins there may be: a token bucket filled by a share of the first ones and by one a second, so that
 * an outage does not multiply what senders are asked. (Envoy, "retry budgets"; Finagle's RetryBudget.)
 */
final class RetryBudget {
    private static final double A_SECOND = 1;

    private final double share;
    private final double most;
    private double tokens;
    private long filledMs;

    RetryBudget(double share, double most, long nowMs) {
        this.share = share;
        this.most = most;
        this.tokens = most;
        this.filledMs = nowMs;
    }

    private void fill(long nowMs) {
        tokens = Math.min(most, tokens + (nowMs - filledMs) / 1000.0 * A_SECOND);
        filledMs = nowMs;
    }

    void first() {
        tokens = Math.min(most, tokens + share);
    }

    /** Takes one, if there is one. */
    boolean take(long nowMs) {
        fill(nowMs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** When there is one, if no first hand-in fills it before; now, if there is one. */
    long nextMs(long nowMs) {
        fill(nowMs);
        return nowMs + (long) Math.ceil(Math.max(0, 1 - tokens) / A_SECOND * 1000);
    }
}

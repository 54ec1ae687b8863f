package slipfield.client.decide;

/**
 * Limits repeated submissions, so that an outage does not multiply the load on the senders. A token bucket that gains a share
 * of a token per first submission and one token per second. (Envoy, "retry budgets"; Finagle's RetryBudget.)
 */
final class RetryBudget {
    private static final double TOKENS_PER_SECOND = 1;

    private final double share;
    private final double max;
    private double tokens;
    private long filledMs;

    RetryBudget(double share, double max, long nowMs) {
        this.share = share;
        this.max = max;
        this.tokens = max;
        this.filledMs = nowMs;
    }

    private void fill(long nowMs) {
        tokens = Math.min(max, tokens + (nowMs - filledMs) / 1000.0 * TOKENS_PER_SECOND);
        filledMs = nowMs;
    }

    /** Adds the share of a token that a first submission earns. */
    void onFirstSubmission() {
        tokens = Math.min(max, tokens + share);
    }

    /** Takes a token for a repeated submission; false if there is none. */
    boolean tryTake(long nowMs) {
        fill(nowMs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** When a token is available if no first submission earns one earlier; {@code nowMs} if there is one already. */
    long nextTokenMs(long nowMs) {
        fill(nowMs);
        return nowMs + (long) Math.ceil(Math.max(0, 1 - tokens) / TOKENS_PER_SECOND * 1000);
    }
}

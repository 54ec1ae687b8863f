package slipfield.policy;

/**
 * Bounds additional sends over all destinations by a share of first sends: hedged attempts, because a slow destination would get
 * twice the load, and retries, because refused calls may use up a limit for good. Without I/O; times in milliseconds.
 */
final class SendBudget {
    /** The period over which first sends and additional sends are counted. */
    static final double PERIOD_MS = 10_000;

    private final double base;
    private final double share;
    private final RecentTimes firstSends;
    private final RecentTimes additional = new RecentTimes(PERIOD_MS);

    /** Allows {@code base} additional sends in a period, plus {@code share} of the first sends. */
    SendBudget(double base, double share, RecentTimes firstSends) {
        this.base = base;
        this.share = share;
        this.firstSends = firstSends;
    }

    /** Counts an additional send. */
    void sent(double now) {
        additional.add(now);
    }

    /** Returns whether one more additional send is within the budget. */
    boolean allows(double now) {
        return additional.count(now) + 1 <= base + share * firstSends.count(now);
    }
}

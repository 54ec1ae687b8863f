package slipfield.client.decide;

/**
 * Computes until when an order that is submitted now may run. Several copies of a keyed order may run if all runs fall within
 * the venue's window; so every copy must have ended within one window after the first submission that may have run.
 */
final class ResubmissionDeadline {
    /** The order may not be submitted any more. */
    static final long NEVER = Long.MIN_VALUE;

    private ResubmissionDeadline() {
    }

    /**
     * Returns the latest time, in ms, at which a copy that is submitted now may run, or {@link #NEVER}.
     *
     * @param firstMs time of the first submission that a sender may have accepted; negative: there is none
     */
    static long latestRunMs(ClassRule rule, Rules rules, long nowMs, long deadlineMs, long firstMs) {
        boolean mayHaveRun = firstMs >= 0;
        long until = switch (rule.effect()) {
            case SAFE -> deadlineMs;
            case UNSAFE -> mayHaveRun ? NEVER : deadlineMs;
            case KEYED -> !rule.resendsUnheard() ? mayHaveRun ? NEVER : deadlineMs
                    : Math.min(deadlineMs, (mayHaveRun ? firstMs : nowMs) + safeWindowMs(rule, rules));
        };
        return until == NEVER || until - nowMs < rules.leastBudgetMs() ? NEVER : until;
    }

    /** The window of a key, reduced by a margin for transit and by the drift between the two clocks. */
    static long safeWindowMs(ClassRule rule, Rules rules) {
        return rule.windowMs() - rules.marginMs() - (long) Math.ceil(rule.windowMs() * rules.clockRate());
    }
}

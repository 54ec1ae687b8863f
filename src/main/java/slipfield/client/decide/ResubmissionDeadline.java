package slipfield.client.decide;

/**
 * Until when an order may run, if it is handed in now. Two copies of a keyed order may both run as long as they do so
 * within the venue's window of each other: so all that may be out end within one window of the first that may have run.
 */
final class ResubmissionDeadline {
    /** It may not be handed in any more. */
    static final long NEVER = Long.MIN_VALUE;

    private ResubmissionDeadline() {
    }

    /**
     * The latest time at which a copy that is handed in now may run.
     *
     * @param firstMs when the first hand-in was made that may have been taken; negative: none
     * @return a time, in ms, or {@link #NEVER}
     */
    static long until(ClassRule rule, Rules rules, long nowMs, long deadlineMs, long firstMs) {
        boolean mayHaveRun = firstMs >= 0;
        long until = switch (rule.effect()) {
            case SAFE -> deadlineMs;
            case UNSAFE -> mayHaveRun ? NEVER : deadlineMs;
            case KEYED -> !rule.resendsUnheard() ? mayHaveRun ? NEVER : deadlineMs
                    : Math.min(deadlineMs, (mayHaveRun ? firstMs : nowMs) + window(rule, rules));
        };
        return until == NEVER || until - nowMs < rules.leastBudgetMs() ? NEVER : until;
    }

    /** A key's window less what transit and the rates of two clocks may take of it. */
    static long window(ClassRule rule, Rules rules) {
        return rule.windowMs() - rules.marginMs() - (long) Math.ceil(rule.windowMs() * rules.clockRate());
    }
}

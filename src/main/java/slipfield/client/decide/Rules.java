package slipfield.client.decide;

/**
 * The figures that a client's decisions go by. All times in ms; what an operator does not set is {@link #DEFAULT}.
 *
 * @param answerMs so long a hand-in waits for its answer (PROTOCOL: 400)
 * @param marginMs taken off a key's window for transit
 * @param clockRate taken off it too, as a share of it: two clocks do not run alike
 * @param leastBudgetMs an order with less time left is not handed in
 * @param pauseMs before a hand-in after a refusal that told no wait, or after none could be made; doubled by each, jittered
 * @param mostPauseMs never longer than this
 * @param retryShare repeated hand-ins allowed for each first one
 * @param retryBurst repeated hand-ins that may come at once
 * @param leastInFlight hand-ins out at once, at least
 * @param mostInFlight and at most
 * @param mostConnections to one sender
 * @param mostQueued orders that wait to be handed in; one more is refused at once
 * @param spreadMs a lost connection is made anew within so long, unless the sender tells another window
 * @param mostSpreadMs connects that go on failing double the window up to this; a told one is bounded by it too
 * @param trialShare share of clients that connect in the first tenth of the window
 * @param ejectAfter a sender is left alone after so many hand-ins in a row without an answer
 * @param ejectMs for so long, doubled by each time in a row
 * @param mostEjectMs never longer
 * @param returnMs a sender that comes back gets its full part after so long
 * @param drainMs a sender that closes connections in order gets nothing new for so long
 * @param follows whether the ends of taken orders are heard; if not, an order ends when it is taken
 * @param graceMs so long after an order's time its end is still waited for
 */
public record Rules(long answerMs, long marginMs, double clockRate, long leastBudgetMs, long pauseMs, long mostPauseMs,
        double retryShare, double retryBurst, int leastInFlight, int mostInFlight, int mostConnections, int mostQueued,
        long spreadMs, long mostSpreadMs, double trialShare, int ejectAfter, long ejectMs, long mostEjectMs,
        long returnMs, long drainMs, boolean follows, long graceMs) {
    /** What holds where nothing is said. */
    public static final Rules DEFAULT = new Rules(400, 500, 0.001, 20, 50, 2000, 0.2, 20, 4, 256, 64, 10_000, 1000, 10_000,
            0.01, 3, 1000, 30_000, 5000, 3000, false, 2000);

    /** Checks the ranges; the error names the field. */
    public Rules {
        check(answerMs > 0, "answerMs is over 0");
        check(marginMs >= 0, "marginMs is 0 or more");
        check(clockRate >= 0 && clockRate < 1, "clockRate is a share under 1");
        check(leastBudgetMs >= 1, "leastBudgetMs is 1 or more");
        check(pauseMs >= 1 && mostPauseMs >= pauseMs, "pauseMs is 1 or more, mostPauseMs no less");
        check(retryShare >= 0 && retryShare <= 1, "retryShare is a share, 0 to 1");
        check(retryBurst >= 1, "retryBurst is 1 or more");
        check(leastInFlight >= 1 && mostInFlight >= leastInFlight, "leastInFlight is 1 or more, mostInFlight no less");
        check(mostConnections >= 1, "mostConnections is 1 or more");
        check(mostQueued >= 1, "mostQueued is 1 or more");
        check(spreadMs >= 0 && mostSpreadMs >= spreadMs, "spreadMs is 0 or more, mostSpreadMs no less");
        check(trialShare >= 0 && trialShare <= 1, "trialShare is a share, 0 to 1");
        check(ejectAfter >= 1 && ejectMs >= 0 && mostEjectMs >= ejectMs, "ejectAfter is 1 or more, mostEjectMs no less than ejectMs");
        check(returnMs >= 0 && drainMs >= 0 && graceMs >= 0, "returnMs, drainMs and graceMs are 0 or more");
    }

    private static void check(boolean holds, String rule) {
        if (!holds) {
            throw new IllegalArgumentException(rule);
        }
    }

    /** The same with ends followed or not. */
    public Rules following(boolean follow) {
        return new Rules(answerMs, marginMs, clockRate, leastBudgetMs, pauseMs, mostPauseMs, retryShare, retryBurst,
                leastInFlight, mostInFlight, mostConnections, mostQueued, spreadMs, mostSpreadMs, trialShare, ejectAfter,
                ejectMs, mostEjectMs, returnMs, drainMs, follow, graceMs);
    }

    /** The same with connections made anew within this window, in ms. */
    public Rules spreadOver(long windowMs, double trials) {
        return new Rules(answerMs, marginMs, clockRate, leastBudgetMs, pauseMs, mostPauseMs, retryShare, retryBurst,
                leastInFlight, mostInFlight, mostConnections, mostQueued, windowMs, Math.max(windowMs, mostSpreadMs), trials,
                ejectAfter, ejectMs, mostEjectMs, returnMs, drainMs, follows, graceMs);
    }

    /** The same with so many hand-ins out at once, and connections to one sender. */
    public Rules atMost(int inFlight, int connections) {
        return new Rules(answerMs, marginMs, clockRate, leastBudgetMs, pauseMs, mostPauseMs, retryShare, retryBurst,
                Math.min(leastInFlight, inFlight), inFlight, connections, mostQueued, spreadMs, mostSpreadMs, trialShare,
                ejectAfter, ejectMs, mostEjectMs, returnMs, drainMs, follows, graceMs);
    }
}

package slipfield.client.decide;

/**
 * The parameters of a client's decisions. All times are in ms. {@link #DEFAULT} holds the default values.
 *
 * @param answerMs how long to wait for the answer to a submission (PROTOCOL: 400)
 * @param marginMs subtracted from a key's window to allow for transit
 * @param clockRate share of a key's window that is also subtracted, since two clocks do not run at the same rate
 * @param leastBudgetMs an order with less time left is not submitted
 * @param pauseMs pause before the next submission after a refusal without a requested delay, or after a failed submission;
 *     doubled each time, with jitter
 * @param mostPauseMs upper bound of that pause
 * @param retryShare repeated submissions allowed per first submission
 * @param retryBurst repeated submissions that may follow each other at once
 * @param leastInFlight lower bound of the limit on submissions in flight
 * @param mostInFlight upper bound of that limit
 * @param mostConnections connections to one sender at most
 * @param mostQueued orders that may wait for submission; a further one is refused at once
 * @param spreadMs window over which lost connections are reopened, unless the sender reports another
 * @param mostSpreadMs upper bound of the window, both of a reported one and of one that is doubled by failed connects
 * @param trialShare share of the clients that connect in the first tenth of the window
 * @param ejectAfter consecutive submissions without an answer after which a sender is ejected, that is, not used
 * @param ejectMs duration of the first ejection, doubled by each further one in a row
 * @param mostEjectMs upper bound of that duration
 * @param returnMs time after which a sender that came back gets its full share of the load
 * @param drainMs how long a sender that announced the closing of a connection gets no new order
 * @param follows whether the client learns the final answers of accepted orders; otherwise an order ends when it is accepted
 * @param graceMs how long after an order's deadline its final answer is still awaited
 */
public record Rules(long answerMs, long marginMs, double clockRate, long leastBudgetMs, long pauseMs, long mostPauseMs,
        double retryShare, double retryBurst, int leastInFlight, int mostInFlight, int mostConnections, int mostQueued,
        long spreadMs, long mostSpreadMs, double trialShare, int ejectAfter, long ejectMs, long mostEjectMs,
        long returnMs, long drainMs, boolean follows, long graceMs) {
    /** The default values. */
    public static final Rules DEFAULT = new Rules(400, 500, 0.001, 20, 50, 2000, 0.2, 20, 4, 256, 64, 10_000, 1000, 10_000,
            0.01, 3, 1000, 30_000, 5000, 3000, false, 2000);

    /** Throws {@link IllegalArgumentException}, naming the field, for a value out of range. */
    public Rules {
        check(answerMs > 0, "answerMs must be over 0");
        check(marginMs >= 0, "marginMs must be 0 or more");
        check(clockRate >= 0 && clockRate < 1, "clockRate must be from 0 to under 1");
        check(leastBudgetMs >= 1, "leastBudgetMs must be 1 or more");
        check(pauseMs >= 1 && mostPauseMs >= pauseMs, "pauseMs must be 1 or more, mostPauseMs at least pauseMs");
        check(retryShare >= 0 && retryShare <= 1, "retryShare must be from 0 to 1");
        check(retryBurst >= 1, "retryBurst must be 1 or more");
        check(leastInFlight >= 1 && mostInFlight >= leastInFlight,
                "leastInFlight must be 1 or more, mostInFlight at least leastInFlight");
        check(mostConnections >= 1, "mostConnections must be 1 or more");
        check(mostQueued >= 1, "mostQueued must be 1 or more");
        check(spreadMs >= 0 && mostSpreadMs >= spreadMs, "spreadMs must be 0 or more, mostSpreadMs at least spreadMs");
        check(trialShare >= 0 && trialShare <= 1, "trialShare must be from 0 to 1");
        check(ejectAfter >= 1 && ejectMs >= 0 && mostEjectMs >= ejectMs,
                "ejectAfter must be 1 or more, ejectMs 0 or more, mostEjectMs at least ejectMs");
        check(returnMs >= 0 && drainMs >= 0 && graceMs >= 0, "returnMs, drainMs and graceMs must be 0 or more");
    }

    private static void check(boolean valid, String message) {
        if (!valid) {
            throw new IllegalArgumentException(message);
        }
    }

    /** A copy that follows the final answers of accepted orders, or does not. */
    public Rules following(boolean follow) {
        return new Rules(answerMs, marginMs, clockRate, leastBudgetMs, pauseMs, mostPauseMs, retryShare, retryBurst,
                leastInFlight, mostInFlight, mostConnections, mostQueued, spreadMs, mostSpreadMs, trialShare, ejectAfter,
                ejectMs, mostEjectMs, returnMs, drainMs, follow, graceMs);
    }

    /** A copy with this reconnect window in ms, and this share of clients that connect in its first tenth. */
    public Rules spreadOver(long windowMs, double probeShare) {
        return new Rules(answerMs, marginMs, clockRate, leastBudgetMs, pauseMs, mostPauseMs, retryShare, retryBurst,
                leastInFlight, mostInFlight, mostConnections, mostQueued, windowMs, Math.max(windowMs, mostSpreadMs),
                probeShare, ejectAfter, ejectMs, mostEjectMs, returnMs, drainMs, follows, graceMs);
    }

    /** A copy with these upper bounds of submissions in flight and of connections to one sender. */
    public Rules atMost(int inFlight, int connections) {
        return new Rules(answerMs, marginMs, clockRate, leastBudgetMs, pauseMs, mostPauseMs, retryShare, retryBurst,
                Math.min(leastInFlight, inFlight), inFlight, connections, mostQueued, spreadMs, mostSpreadMs, trialShare,
                ejectAfter, ejectMs, mostEjectMs, returnMs, drainMs, follows, graceMs);
    }
}

package slipfield.client.decide;

import java.util.random.RandomGenerator;

/**
 * When a lost connection is made anew: drawn over a window, so that a thousand clients of a sender that came back do not
 * connect in one moment. A few draw from its first tenth: they find out whether it is back. (AWS Architecture Blog,
 * "Exponential Backoff and Jitter", full jitter.)
 */
final class ReconnectBackoff {
    private static final int MOST_DOUBLINGS = 10;
    /** Connects that fail before the window grows: while they are spread over it they ask little of a sender. */
    private static final int PATIENCE = 4;
    private static final double HEAD = 0.1;

    private ReconnectBackoff() {
    }

    /**
     * The pause before the next connect, in ms.
     *
     * @param windowMs the sender's, or the client's own
     * @param failures connects that failed in a row
     */
    static long delay(Rules rules, long windowMs, int failures, RandomGenerator random) {
        double window = Math.min(rules.mostSpreadMs(), Math.max(windowMs, failures > 0 ? rules.pauseMs() : 0)
                * Math.pow(2, Math.max(0, Math.min(MOST_DOUBLINGS, failures - PATIENCE))));
        boolean trial = random.nextDouble() < rules.trialShare();
        double at = trial ? HEAD * random.nextDouble() : HEAD + (1 - HEAD) * random.nextDouble();
        return (long) (window * at);
    }
}

package slipfield.client.decide;

import java.util.random.RandomGenerator;

/**
 * Delays before a lost connection is opened again, drawn at random over a window: a thousand clients of a sender that has
 * come back must not all connect at the same moment. A small share of the clients draws from the first tenth of the window,
 * to find out whether the sender is back. (AWS Architecture Blog, "Exponential Backoff and Jitter", full jitter.)
 */
final class ReconnectBackoff {
    private static final int MAX_DOUBLINGS = 10;
    /** Failed connects before the window grows: spread over the window, connects put little load on a sender. */
    private static final int FAILURES_BEFORE_DOUBLING = 4;
    private static final double PROBE_PART = 0.1;

    private ReconnectBackoff() {
    }

    /**
     * Draws the delay before the next connect, in ms.
     *
     * @param windowMs the window that the sender reported, or the client's default
     * @param failures consecutive failed connects
     */
    static long delayMs(Rules rules, long windowMs, int failures, RandomGenerator random) {
        double window = Math.min(rules.mostSpreadMs(), Math.max(windowMs, failures > 0 ? rules.pauseMs() : 0)
                * Math.pow(2, Math.max(0, Math.min(MAX_DOUBLINGS, failures - FAILURES_BEFORE_DOUBLING))));
        boolean probe = random.nextDouble() < rules.trialShare();
        double at = probe ? PROBE_PART * random.nextDouble() : PROBE_PART + (1 - PROBE_PART) * random.nextDouble();
        return (long) (window * at);
    }
}

package slipfield.fleet;

import java.util.random.RandomGenerator;

/**
 * Decides when a sender asks discovery again, which it shares with many senders. A call that discovery rejects or lets time
 * out costs it work too, so senders that retry at a fixed interval would keep it overloaded long after the cause is gone.
 * Therefore the pause after a rejected call is random, and its upper bound doubles with each consecutive rejection, until all
 * senders together call less often than discovery can answer, for any number of senders. (AWS Architecture Blog, "Exponential
 * Backoff and Jitter"; Bronson and others, "Metastable Failures in Distributed Systems", HotOS 2021.)
 *
 * <p>After no answer the pause stays short: calling a discovery that is down costs nothing, and its changes count as reported
 * soon after it is back. The pause is random only so that senders don't call at the same time. A list that can't be used is
 * handled the same way, because its content counts as reported and must be received soon.
 */
public final class DiscoveryBackoff {
    /** Result of a call to discovery. */
    public enum Result {
        /** A valid list. */
        LIST,
        /** An answer without a list: discovery is up but overloaded. */
        REJECTED,
        /** A list that can't be used, although its content counts as reported. */
        UNUSABLE,
        /** No answer before the time-out. */
        NONE
    }

    /**
     * Upper bound of the pause after the first rejected call: 250 ms per sender, as all senders may have called at once, and
     * 1000 ms at least. It doubles up to three times, so that each of 100 senders comes to a call every two seconds.
     */
    private static final long FIRST_PER_SENDER_MS = 250;
    private static final long FIRST_MIN_MS = 1000;
    private static final int DOUBLINGS = 3;
    /** Upper bound of all pauses. Without updates for longer, a sender would be as badly off as with an overload. */
    private static final long MAX_PAUSE_MS = 30_000;
    /** Shortest pause as a share of its upper bound; without it some senders would retry at once. */
    private static final double MIN_SHARE = 0.25;
    /** Bounds of the pause after no answer, in ms. */
    static final long NO_ANSWER_MIN_MS = 100;
    static final long NO_ANSWER_MAX_MS = 600;
    /** An answer that took at least this long, in ms, counts as a sign of load on discovery. */
    static final double SLOW_MS = 100;

    /**
     * Upper bound of the pause between a list and the next poll, in ms, for any number of senders: changes that reach the agent
     * meanwhile count as reported, and an endpoint must get no new messages from 2 s after its drain was reported.
     */
    static final long POLL_DELAY_MAX_MS = 1000;

    private final RandomGenerator random;
    private final double firstMs;
    private int rejections;

    /**
     * Creates the backoff of one sender.
     *
     * @param senders number of senders that share the discovery
     * @param random source of the pauses; its seed must differ between senders
     */
    public DiscoveryBackoff(int senders, RandomGenerator random) {
        this.random = random;
        this.firstMs = Math.min(MAX_PAUSE_MS, Math.max(FIRST_MIN_MS, FIRST_PER_SENDER_MS * (long) senders));
    }

    /**
     * Returns the pause before the next call, in ms; 0 for no pause. The poll that follows a list is another call, which is
     * delayed if discovery is loaded.
     *
     * @param tookMs duration of the call beyond the wait that it asked for; negative if a change ended the wait early
     */
    public long pause(Result result, double tookMs) {
        switch (result) {
            case LIST:
                rejections = 0;
                return tookMs < SLOW_MS ? 0 : (long) (random.nextDouble() * Math.min(firstMs, POLL_DELAY_MAX_MS));
            case REJECTED:
                double bound = Math.min(MAX_PAUSE_MS, firstMs * (1 << Math.min(rejections++, DOUBLINGS)));
                return (long) (bound * (MIN_SHARE + (1 - MIN_SHARE) * random.nextDouble()));
            default:
                return (long) (NO_ANSWER_MIN_MS + random.nextDouble() * (NO_ANSWER_MAX_MS - NO_ANSWER_MIN_MS));
        }
    }
}

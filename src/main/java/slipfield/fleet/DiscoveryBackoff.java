package slipfield.fleet;

import java.util.random.RandomGenerator;

/**
 * When a discovery that many senders share is asked again. A call that it turns away, or lets time out, has cost it work
 * all the same: senders that come back at a fixed pace keep it overloaded for good once it is, long after the cause is
 * gone. So the pause after such a call is drawn, and its bound doubles with each in a row, until the calls of all senders
 * together are fewer than it can answer, however many senders there are. (AWS Architecture Blog, "Exponential Backoff and
 * Jitter"; Bronson and others, "Metastable Failures in Distributed Systems", HotOS 2021.)
 *
 * <p>Silence is another matter: a discovery that is down costs nothing to ask, and what it has to tell counts as told soon
 * after it is back. There the pause stays short, and is drawn only so that senders do not ask in step. A list that came and
 * can't be used is the same: it cost its asker nothing to wait for, and what it said has to be heard soon.
 */
public final class DiscoveryBackoff {
    /** What came of a call. */
    public enum Result {
        /** What was asked for. */
        LIST,
        /** An answer that tells nothing: there is a discovery, and it has too much to do. */
        REJECTED,
        /** A list that can't be used: what it tells counts as told all the same. */
        UNUSABLE,
        /** None, in its time. */
        NONE
    }

    /**
     * Bound of the pause after the first call that was turned away, in ms: for each sender, as all may have called, and at
     * least. It grows to the most in so many doublings: a call from each of a hundred senders then comes every two seconds.
     */
    private static final long FIRST_EACH_MS = 250;
    private static final long FIRST_LEAST_MS = 1000;
    private static final int DOUBLINGS = 3;
    /** No news for longer than this would be as bad as what it guards against. */
    private static final long MOST_MS = 30_000;
    /** The share of a bound that a pause has at least: else some come back at once. */
    private static final double LEAST_SHARE = 0.25;
    /** Bounds of the pause after silence, in ms. */
    static final long SILENT_LEAST_MS = 100;
    static final long SILENT_MOST_MS = 600;
    /** A whole list that took so long, in ms, tells that discovery has much to do. */
    static final double SLOW_MS = 100;

    /**
     * Bound of the pause between a list and the watch on it, in ms, however many senders: what the agent hears meanwhile
     * counts as told, and nothing new may go to an endpoint 2 s after it was told to drain.
     */
    static final long UNWATCHED_MOST_MS = 1000;

    private final RandomGenerator random;
    private final double firstMs;
    private int turnedAway;

    /** One of so many {@code senders}; pauses are drawn from {@code random}, which must differ from sender to sender. */
    public DiscoveryBackoff(int senders, RandomGenerator random) {
        this.random = random;
        this.firstMs = Math.min(MOST_MS, Math.max(FIRST_LEAST_MS, FIRST_EACH_MS * (long) senders));
    }

    /**
     * The pause before the next call, in ms; 0: at once. The watch that follows a list is a call of its own, which a
     * discovery with much to do had better get later.
     *
     * @param tookMs how long the answer took, beyond what it was allowed to wait for news
     */
    public long pause(Result answer, double tookMs) {
        switch (answer) {
            case LIST:
                turnedAway = 0;
                return tookMs < SLOW_MS ? 0 : (long) (random.nextDouble() * Math.min(firstMs, UNWATCHED_MOST_MS));
            case REJECTED:
                double bound = Math.min(MOST_MS, firstMs * (1 << Math.min(turnedAway++, DOUBLINGS)));
                return (long) (bound * (LEAST_SHARE + (1 - LEAST_SHARE) * random.nextDouble()));
            default:
                return (long) (SILENT_LEAST_MS + random.nextDouble() * (SILENT_MOST_MS - SILENT_LEAST_MS));
        }
    }
}

package slipfield.client.decide;

import java.util.HashMap;
import java.util.Map;

/** Told waits, by what they hold for; the longest told holds. */
final class RetryAfterTimes<K> {
    private static final int SWEPT_AT = 1024;

    private final Map<K, Long> until = new HashMap<>();

    /** Nothing goes to this one until then. */
    void told(long nowMs, K of, long untilMs) {
        if (until.size() >= SWEPT_AT) {
            until.values().removeIf(u -> u <= nowMs);
        }
        until.merge(of, untilMs, Math::max);
    }

    /** When the wait of this one is over; now or earlier: it is. */
    long until(K of) {
        return until.getOrDefault(of, Long.MIN_VALUE);
    }
}

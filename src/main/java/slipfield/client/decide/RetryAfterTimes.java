package slipfield.client.decide;

import java.util.HashMap;
import java.util.Map;

/** The delays that senders requested, by what they apply to; of several for one key the latest end applies. */
final class RetryAfterTimes<K> {
    /** Number of keys from which delays that are over are removed before another one is added. */
    private static final int CLEANUP_SIZE = 1024;

    private final Map<K, Long> until = new HashMap<>();

    /** Records that nothing may be submitted for this key before {@code untilMs}. */
    void record(long nowMs, K key, long untilMs) {
        if (until.size() >= CLEANUP_SIZE) {
            until.values().removeIf(u -> u <= nowMs);
        }
        until.merge(key, untilMs, Math::max);
    }

    /** When the delay of this key ends; a time in the past if there is none. */
    long untilMs(K key) {
        return until.getOrDefault(key, Long.MIN_VALUE);
    }
}

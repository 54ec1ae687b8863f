package slipfield.log;

/** Limits how often an event is logged: a token bucket of ten tokens, refilled with one per second. */
final class EventRateLimit {
    private static final long CAPACITY = 10;
    private static final long REFILL_MS = 1000;

    private long tokens = CAPACITY;
    private long refilledMs;
    private boolean started;
    private long suppressed;

    /**
     * Takes a token for an event at this time, in ms.
     *
     * @return how many events were suppressed since the last one that was logged; -1 if this one is suppressed too
     */
    synchronized long acquire(long nowMs) {
        if (!started) {
            started = true;
            refilledMs = nowMs;
        }
        long more = Math.max(0, nowMs - refilledMs) / REFILL_MS;
        tokens = Math.min(CAPACITY, tokens + more);
        refilledMs += more * REFILL_MS;
        if (tokens == 0) {
            suppressed++;
            return -1;
        }
        tokens--;
        long before = suppressed;
        suppressed = 0;
        return before;
    }
}

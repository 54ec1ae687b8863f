package slipfield.log;

/** How often one event is told: a token bucket of ten, filled by one a second. */
final class EventRateLimit {
    private static final long MOST = 10;
    private static final long EVERY_MS = 1000;

    private long tokens = MOST;
    private long filledMs;
    private boolean begun;
    private long passedOver;

    /**
     * Asks for one at this time, in ms.
     *
     * @return how many were passed over before it; -1: it is passed over too
     */
    synchronized long acquire(long nowMs) {
        if (!begun) {
            begun = true;
            filledMs = nowMs;
        }
        long more = Math.max(0, nowMs - filledMs) / EVERY_MS;
        tokens = Math.min(MOST, tokens + more);
        filledMs += more * EVERY_MS;
        if (tokens == 0) {
            passedOver++;
            return -1;
        }
        tokens--;
        long told = passedOver;
        passedOver = 0;
        return told;
    }
}

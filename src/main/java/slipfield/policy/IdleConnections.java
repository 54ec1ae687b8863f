package slipfield.policy;

import java.util.Optional;

/**
 * Decides which idle connections are trusted. Guards against connections that are dropped unnoticed: after losses on idle ones
 * at two destinations, connections idle for nearly as long are closed before the next call, until a call over one idle as long is
 * delivered. This works whatever drops them; it costs new connections where calls are lost for another reason. Without I/O; times
 * in milliseconds.
 */
final class IdleConnections {
    /** A connection that was unused for at least this time counts as idle. */
    private static final double MIN_IDLE_MS = 100;
    /** After losses, connections idle for over this share of the lost one's idle time are not trusted. */
    private static final double TRUSTED_IDLE_SHARE = 0.25;
    /** The losses are forgotten after this time. */
    private static final double TRUST_RESET_MS = 30_000;

    private final double keepAliveMs;
    private Optional<Use> lost = Optional.empty();
    private double lostAt = Double.NEGATIVE_INFINITY;
    private boolean certain;

    /** The use of a connection by one call, compared by identity. */
    static final class Use {
        private final long destination;
        private final double idleMs;

        /** A call to this destination uses a connection that was idle for this time, or 0 for one in use or a new one. */
        Use(long destination, double idleMs) {
            this.destination = destination;
            this.idleMs = idleMs;
        }
    }

    /** Unused connections are closed after {@code keepAliveMs}. */
    IdleConnections(double keepAliveMs) {
        this.keepAliveMs = keepAliveMs;
    }

    /** Returns whether a connection that was unused for this time counts as idle. */
    boolean isIdle(double unusedMs) {
        return unusedMs >= MIN_IDLE_MS && unusedMs < keepAliveMs;
    }

    /** Returns whether a call may use a connection that was idle for this time. */
    boolean isTrusted(double now, double idleMs) {
        if (now > lostAt + TRUST_RESET_MS) {
            lost = Optional.empty();
            certain = false;
        }
        return !certain || lost.filter(use -> idleMs > use.idleMs * TRUSTED_IDLE_SHARE).isEmpty();
    }

    /** The call got no answer. */
    void callLost(double now, Use call) {
        if (call.idleMs > 0) {
            certain |= lost.filter(use -> use.destination != call.destination).isPresent();
            lost = lost.filter(use -> use.idleMs < call.idleMs).or(() -> Optional.of(call));
            lostAt = now;
        }
    }

    /** The call was delivered; {@code overdue}: it took longer than a usual answer. */
    void callDelivered(Use call, boolean overdue) {
        lost = lost.filter(use -> use != call && (overdue || call.idleMs < use.idleMs));
        certain &= lost.isPresent();
    }
}

package slipfield.amqp.decide;

/**
 * Heartbeats of a connection: specification 0-9-1, 4.2.7. Any octet counts as a heartbeat, in both directions. A heartbeat is
 * sent when nothing was sent for half of the agreed interval; a peer from which nothing came for twice the interval is lost.
 */
public final class HeartbeatMonitor {
    private final long intervalMs;
    private double lastReceivedMs;
    private double lastSentMs;

    /** What to do now. */
    public enum Action {
        NOTHING,
        /** Send a heartbeat. */
        SEND_HEARTBEAT,
        /** The peer is lost. */
        PEER_LOST
    }

    /** {@code intervalMs}: the agreed interval in milliseconds; 0: no heartbeats. */
    public HeartbeatMonitor(long intervalMs, double now) {
        this.intervalMs = intervalMs;
        this.lastReceivedMs = now;
        this.lastSentMs = now;
    }

    /** Octets came from the peer. */
    public void received(double now) {
        lastReceivedMs = now;
    }

    /** Octets were sent to the peer. */
    public void sent(double now) {
        lastSentMs = now;
    }

    /**
     * What is due at this time.
     *
     * @param reading whether the connection is being read. While it is not, silence says nothing about the peer, and it is
     *     not taken for lost
     */
    public Action due(double now, boolean reading) {
        if (intervalMs == 0) {
            return Action.NOTHING;
        }
        if (!reading) {
            lastReceivedMs = Math.max(lastReceivedMs, now - intervalMs);
        } else if (now - lastReceivedMs > 2.0 * intervalMs) {
            return Action.PEER_LOST;
        }
        return now - lastSentMs >= intervalMs / 2.0 ? Action.SEND_HEARTBEAT : Action.NOTHING;
    }
}

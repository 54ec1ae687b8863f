package slipfield.amqp.decide;

/**
 * Heartbeats: specification 0-9-1, 4.2.7. Any octet counts as one, in both ways. One is sent after half the agreed time
 * without sending; a peer that was not heard for twice that time is gone.
 */
public final class HeartbeatMonitor {
    private final long everyMs;
    private double heard;
    private double said;

    /** What is to be done now. */
    public enum Action {
        NOTHING,
        /** A heartbeat is to be sent. */
        SEND_HEARTBEAT,
        /** The peer is gone. */
        PEER_LOST
    }

    /** {@code everyMs}: as agreed, in milliseconds; 0: never. */
    public HeartbeatMonitor(long everyMs, double now) {
        this.everyMs = everyMs;
        this.heard = now;
        this.said = now;
    }

    /** Something came. */
    public void received(double now) {
        heard = now;
    }

    /** Something went out. */
    public void sent(double now) {
        said = now;
    }

    /**
     * What is due.
     *
     * @param reading whether we read from the peer: one that we do not read can't be heard, and is not held to be gone
     */
    public Action due(double now, boolean reading) {
        if (everyMs == 0) {
            return Action.NOTHING;
        }
        if (!reading) {
            heard = Math.max(heard, now - everyMs);
        } else if (now - heard > 2.0 * everyMs) {
            return Action.PEER_LOST;
        }
        return now - said >= everyMs / 2.0 ? Action.SEND_HEARTBEAT : Action.NOTHING;
    }
}

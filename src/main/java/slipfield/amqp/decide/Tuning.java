package slipfield.amqp.decide;

import java.util.Optional;

/**
 * The parameters that the two sides of a connection negotiate: specification 0-9-1, {@code connection.tune}. In an offer or
 * an answer 0 means no limit; the client may not choose more than it was offered.
 *
 * @param channelMax the highest channel number, 1 to 65,535
 * @param frameMax octets of a frame including its header and end, 4,096 or more
 * @param heartbeatMs heartbeat interval in ms; 0: no heartbeats are sent, and a silent peer is not taken for lost
 */
public record Tuning(int channelMax, int frameMax, long heartbeatMs) {
    private static final int MIN_FRAME_OCTETS = 4096;
    private static final int MAX_CHANNELS = 65_535;

    /**
     * The same with smaller frames if those of all connections together would exceed this memory: a frame is handled only once it
     * is complete, so each connection may hold most of one.
     *
     * @param octets the memory for incomplete frames
     */
    public Tuning within(long octets, int connections) {
        long share = Math.max(MIN_FRAME_OCTETS, octets / connections);
        if (frameMax != 0 && frameMax <= share) {
            return this;
        }
        return new Tuning(channelMax, (int) Math.min(Integer.MAX_VALUE, share), heartbeatMs);
    }

    /** The agreed parameters after a client's tune-ok to this offer; empty if it asks for more than is allowed. */
    public Optional<Tuning> acceptTuneOk(long channels, long frame, long heartbeatSeconds) {
        int maxChannel = channelMax == 0 ? MAX_CHANNELS : channelMax;
        if (channels > maxChannel || frame > frameMax || frame != 0 && frame < MIN_FRAME_OCTETS) {
            return Optional.empty();
        }
        return Optional.of(new Tuning(channels == 0 ? maxChannel : (int) channels, frame == 0 ? frameMax : (int) frame,
                heartbeatSeconds * 1000));
    }

    /** The tune-ok of a client that would like these parameters, to a server's offer. */
    public Tuning tuneOkFor(long channels, long frame, long heartbeatSeconds) {
        return new Tuning(smaller(channelMax, channels), smaller(frameMax, frame),
                1000 * smaller((int) (heartbeatMs / 1000), heartbeatSeconds));
    }

    private static int smaller(int ours, long theirs) {
        return theirs == 0 ? ours : ours == 0 ? (int) theirs : (int) Math.min(ours, theirs);
    }
}

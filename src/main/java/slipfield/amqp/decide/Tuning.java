package slipfield.amqp.decide;

import java.util.Optional;

/**
 * What two sides of a connection agree on: specification 0-9-1, {@code connection.tune}. 0 means no limit; what the client
 * chooses may not be above what it was offered.
 *
 * @param channelMax the highest channel number, 1 to 65,535
 * @param frameMax octets of a frame, all counted, from 4,096
 * @param heartbeatMs 0: none are sent, and silence means nothing
 */
public record Tuning(int channelMax, int frameMax, long heartbeatMs) {
    private static final int LEAST_FRAME = 4096;
    private static final int MOST_CHANNELS = 65_535;

    /**
     * What holds after a client's answer to this offer.
     *
     * @return absent if it asks for what it may not
     */
    public Optional<Tuning> acceptTuneOk(long channels, long frame, long heartbeatSeconds) {
        int most = channelMax == 0 ? MOST_CHANNELS : channelMax;
        if (channels > most || frame > frameMax || frame != 0 && frame < LEAST_FRAME) {
            return Optional.empty();
        }
        return Optional.of(new Tuning(channels == 0 ? most : (int) channels, frame == 0 ? frameMax : (int) frame,
                heartbeatSeconds * 1000));
    }

    /** What a client answers to a server's offer, where this is what it would like. */
    public Tuning tuneOkFor(long channels, long frame, long heartbeatSeconds) {
        return new Tuning(least(channelMax, channels), least(frameMax, frame),
                1000 * least((int) (heartbeatMs / 1000), heartbeatSeconds));
    }

    private static int least(int ours, long theirs) {
        return theirs == 0 ? ours : ours == 0 ? (int) theirs : (int) Math.min(ours, theirs);
    }
}

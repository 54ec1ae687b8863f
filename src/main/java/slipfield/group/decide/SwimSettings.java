package slipfield.group.decide;

/**
 * The times of a group, in ms.
 *
 * @param periodMs each member probes one other in so long
 * @param ackTimeoutMs an answer is waited for so long before others are asked; under half a period
 * @param helpers how many others are asked then
 * @param suspicionPeriods a suspect has so many periods, times the logarithm of the group's size, to say that it is there
 * @param maxSlowdown the most by which one's own slowness stretches all of these
 * @param rumorsPerMessage words that go with each note, one's own among them
 */
public record SwimSettings(double periodMs, double ackTimeoutMs, int helpers, double suspicionPeriods, int maxSlowdown, int rumorsPerMessage) {
    /** What holds where nothing is said: 2 notes a second and member, some 130 bytes. */
    public static final SwimSettings DEFAULT = new SwimSettings(1000, 200, 2, 3, 8, 6);

    /** Checks the ranges. */
    public SwimSettings {
        if (!(periodMs > 0) || !(ackTimeoutMs > 0) || ackTimeoutMs * 2 > periodMs || helpers < 0 || !(suspicionPeriods > 0)
                || maxSlowdown < 1 || rumorsPerMessage < 1 || rumorsPerMessage > GossipMessage.MAX_RUMORS) {
            throw new IllegalArgumentException("a period has room for two answers; the rest is over 0, words "
                    + GossipMessage.MAX_RUMORS + " at most");
        }
    }
}

package slipfield.group.decide;

/**
 * The settings of a group. Times are in ms.
 *
 * @param periodMs each member probes one other member per period
 * @param ackTimeoutMs how long a probe waits for an acknowledgement before other members are asked to probe; at most half a
 *     period
 * @param helpers how many other members are asked then
 * @param suspicionPeriods a suspect has this number of periods, times the binary logarithm of the group's size, to refute
 * @param maxSlowdown the factor by which a member's own slowness stretches these times at most
 * @param rumorsPerMessage rumors in each message, including the one about the sender
 */
public record SwimSettings(double periodMs, double ackTimeoutMs, int helpers, double suspicionPeriods, int maxSlowdown,
        int rumorsPerMessage) {
    /** The default settings: 2 messages per second and member, of about 130 bytes. */
    public static final SwimSettings DEFAULT = new SwimSettings(1000, 200, 2, 3, 8, 6);

    /** Checks the ranges. */
    public SwimSettings {
        if (!(periodMs > 0) || !(ackTimeoutMs > 0) || ackTimeoutMs * 2 > periodMs || helpers < 0 || !(suspicionPeriods > 0)
                || maxSlowdown < 1 || rumorsPerMessage < 1 || rumorsPerMessage > GossipMessage.MAX_RUMORS) {
            throw new IllegalArgumentException("periodMs must be at least twice ackTimeoutMs, helpers 0 or more, the other "
                    + "settings above 0, and rumorsPerMessage " + GossipMessage.MAX_RUMORS + " at most");
        }
    }
}

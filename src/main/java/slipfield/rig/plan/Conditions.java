package slipfield.rig.plan;

/**
 * What one direction of a link does to the data on it.
 *
 * @param delayMs how long each piece takes at the least
 * @param jitterMs how much longer at the most, drawn evenly
 * @param lost the share of datagrams that is lost; streams lose nothing
 * @param doubled the share of datagrams that comes twice, the second one up to {@code jitterMs} and 50 ms later
 * @param bytesPerSecond what a stream carries; 0: any number
 * @param held nothing comes through: a stream holds it until this ends, a datagram is lost
 */
public record Conditions(double delayMs, double jitterMs, double lost, double doubled, double bytesPerSecond, boolean held) {
    /** A link with nothing wrong. */
    public static final Conditions WHOLE = new Conditions(0, 0, 0, 0, 0, false);

    /** Checks what no link can do. */
    public Conditions {
        if (!(delayMs >= 0) || !(jitterMs >= 0) || !(lost >= 0 && lost <= 1) || !(doubled >= 0 && doubled <= 1)
                || !(bytesPerSecond >= 0)) {
            throw new IllegalArgumentException("times and rates are 0 or more, shares 0 to 1");
        }
    }

    /** Both at once: the worse of each. */
    Conditions and(Conditions other) {
        double narrow = bytesPerSecond == 0 ? other.bytesPerSecond
                : other.bytesPerSecond == 0 ? bytesPerSecond : Math.min(bytesPerSecond, other.bytesPerSecond);
        return new Conditions(delayMs + other.delayMs, Math.max(jitterMs, other.jitterMs),
                1 - (1 - lost) * (1 - other.lost), Math.max(doubled, other.doubled), narrow, held || other.held);
    }
}

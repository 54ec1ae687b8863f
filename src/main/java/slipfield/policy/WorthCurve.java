package slipfield.policy;

/** What a delivery is worth, by how late it is: in full within the wanted time of its class, then less. */
final class WorthCurve {
    private static final double HALF = 0.5;

    private WorthCurve() {
    }

    /**
     * The worth of a delivery before its deadline.
     *
     * @param lateMs the time since the wanted time was over, in ms; 0 before that
     */
    static double worth(DeliveryPolicy.MessageClass type, DeliveryPolicy.Decay decay, double lateMs) {
        double share = decay == DeliveryPolicy.Decay.HALVING
                ? Math.max(type.lateWorth(), Math.pow(HALF, lateMs / type.aimMs()))
                : 1 - (1 - type.lateWorth()) * lateMs / (type.deadlineMs() - type.aimMs());
        return type.worth() * share;
    }
}

package slipfield.policy;

/**
 * The slow start of what may be, or was, in an outage: how many calls one sender may make so that all senders together stay within
 * what a cold destination bears. Each sender takes the same share of its usual rate, so that the sum needs no agreement. Pure; times in
 * ms, rates in calls a ms.
 */
final class SlowStart {
    /** Trials of the whole fleet are this far apart at the most, however little each sender sends there. */
    private static final double FLEET_TRIALS_APART_MS = 750;
    /** One sender tries no more often, however few there are. */
    private static final double TRIALS_APART_MS = 500;
    /**
     * Shares of the budget that a ramp and the trials before it use: the rest is for chance, and for the first calls of
     * senders that did not meet the outage.
     */
    private static final double RAMP_SHARE = 0.8;
    private static final double TRIAL_SHARE = 0.78;
    /** A told limit may use up the ramp's reserve over what was carried or asked for, and no more. */
    private static final double LIMIT_OVER_SEEN = 1 / RAMP_SHARE;

    private final DeliveryPolicy.ColdStart cold;
    private final int senders;

    /** For a fleet of so many senders. */
    SlowStart(DeliveryPolicy.ColdStart cold, int senders) {
        this.cold = cold;
        this.senders = senders;
    }

    /**
     * What one sender's calls to an endpoint come to when it is warm, as far as is known.
     *
     * @param seen carried or asked for
     * @param limitPart this sender's part of a limit, which may lie far above what the destination can do
     */
    double usualRate(double seen, double limitPart) {
        return Math.max(seen, Math.min(limitPart, LIMIT_OVER_SEEN * seen));
    }

    /** The rate of single trials at one of so many endpoints of a destination that may be out. */
    double probeRate(double usual, long endpoints) {
        double rate = TRIAL_SHARE * cold.overloadMultiple() * cold.startCapacity() * usual;
        return Math.max(leastRate(endpoints), Math.min(1 / TRIALS_APART_MS, rate));
    }

    /** The rate in a ramp, at a time from the return. */
    double slowStartRate(double sinceReturnMs, double usual, long endpoints) {
        double warm = Math.max(0, Math.min(1, sinceReturnMs / cold.warmUpMs()));
        double capacity = cold.startCapacity() + (1 - cold.startCapacity()) * warm;
        double rate = RAMP_SHARE * cold.overloadMultiple() * capacity * usual;
        // Only messages of an earlier life are known here: the pace of trials, until more is seen.
        return rate == 0 ? leastRate(endpoints) : rate;
    }

    /** After how long, from a time in a ramp, the next call falls due: its rate grows meanwhile. */
    double slowStartIntervalMs(double sinceReturnMs, double usual, long endpoints) {
        double rate = slowStartRate(sinceReturnMs, usual, endpoints);
        if (sinceReturnMs >= cold.warmUpMs() || usual == 0) {
            return 1 / rate;
        }
        double slope = RAMP_SHARE * cold.overloadMultiple() * usual * (1 - cold.startCapacity()) / cold.warmUpMs();
        return slope == 0 ? 1 / rate : (Math.sqrt(rate * rate + 2 * slope) - rate) / slope;
    }

    /** How long a destination may stay cold after its return. */
    double warmMs() {
        return cold.warmUpMs();
    }

    private double leastRate(long endpoints) {
        return 1 / (FLEET_TRIALS_APART_MS * senders * endpoints);
    }
}

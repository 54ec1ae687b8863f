package slipfield.policy;

/**
 * Limits the calls to a destination that is, or was, in an outage, so that all senders together stay within the load that a
 * recovering destination tolerates. Each sender reduces its usual rate by the same factor, so the senders need not agree on their
 * shares. Without side effects; times in milliseconds, rates in calls a millisecond.
 */
final class SlowStart {
    /** The longest mean interval between two probes of the whole fleet, used where senders have little traffic. */
    private static final double MAX_FLEET_PROBE_INTERVAL_MS = 750;
    /** The shortest interval between two probes of one sender, also in a small fleet. */
    private static final double MIN_PROBE_INTERVAL_MS = 500;
    /**
     * The shares of the tolerated load that the slow start and the probes before it use. The rest is left for random variation
     * and for the first calls of senders that have not noticed the outage.
     */
    private static final double SLOW_START_SHARE = 0.8;
    private static final double PROBE_SHARE = 0.78;
    /** A reported limit may raise the usual rate above the observed one by the reserve of the slow start at most. */
    private static final double LIMIT_OVER_OBSERVED = 1 / SLOW_START_SHARE;

    private final DeliveryPolicy.ColdStart cold;
    private final int senders;

    /** Creates the limits for a fleet of the given number of senders. */
    SlowStart(DeliveryPolicy.ColdStart cold, int senders) {
        this.cold = cold;
        this.senders = senders;
    }

    /**
     * Estimates the rate of one sender's calls to an endpoint at full capacity.
     *
     * @param observed the rate that was delivered or requested
     * @param limitShare this sender's share of a rate limit, which may be far above the destination's capacity
     */
    double usualRate(double observed, double limitShare) {
        return Math.max(observed, Math.min(limitShare, LIMIT_OVER_OBSERVED * observed));
    }

    /** Returns the rate of probes to one of {@code endpoints} endpoints of a destination that may be in an outage. */
    double probeRate(double usual, long endpoints) {
        double rate = PROBE_SHARE * cold.overloadMultiple() * cold.startCapacity() * usual;
        return Math.max(minRate(endpoints), Math.min(1 / MIN_PROBE_INTERVAL_MS, rate));
    }

    /** Returns the allowed rate at the time {@code sinceReturnMs} after the destination returned. */
    double slowStartRate(double sinceReturnMs, double usual, long endpoints) {
        double warmedShare = Math.max(0, Math.min(1, sinceReturnMs / cold.warmUpMs()));
        double capacity = cold.startCapacity() + (1 - cold.startCapacity()) * warmedShare;
        double rate = SLOW_START_SHARE * cold.overloadMultiple() * capacity * usual;
        // Only messages restored from the journal are known: the rate of probes, until calls or messages are observed.
        return rate == 0 ? minRate(endpoints) : rate;
    }

    /** Returns the time until the next call is due; accounts for the rate growing during that time. */
    double slowStartIntervalMs(double sinceReturnMs, double usual, long endpoints) {
        double rate = slowStartRate(sinceReturnMs, usual, endpoints);
        if (sinceReturnMs >= cold.warmUpMs() || usual == 0) {
            return 1 / rate;
        }
        double slope = SLOW_START_SHARE * cold.overloadMultiple() * usual * (1 - cold.startCapacity()) / cold.warmUpMs();
        return slope == 0 ? 1 / rate : (Math.sqrt(rate * rate + 2 * slope) - rate) / slope;
    }

    /** Returns the time that a destination may need to reach its full capacity after its return. */
    double warmUpMs() {
        return cold.warmUpMs();
    }

    private double minRate(long endpoints) {
        return 1 / (MAX_FLEET_PROBE_INTERVAL_MS * senders * endpoints);
    }
}

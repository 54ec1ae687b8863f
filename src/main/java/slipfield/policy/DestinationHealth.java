package slipfield.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import slipfield.policy.DeliveryPolicy.Health;
import slipfield.policy.DeliveryPolicy.State;

/**
 * Remembers whether a destination as a whole is in an outage or recovers from one, also when none of its endpoints is left: an
 * endpoint that is new to the destination starts in this state. A destination is in service while one of its endpoints is.
 * Without I/O; times in milliseconds.
 */
final class DestinationHealth {
    private static final Comparator<KnownEndpoint> BY_RELEVANCE = Comparator.comparing(KnownEndpoint::serving)
            .thenComparing(known -> known.health.state() == State.WARMING);

    private final double warmUpMs;
    private Optional<KnownEndpoint> outage = Optional.empty();
    private State reported = State.UP;

    /**
     * What is known of one endpoint of the destination.
     *
     * @param serving whether it is listed and takes calls
     * @param savedRate the rate of deliveries, in calls a millisecond, that an earlier process saw there, or 0
     * @param carriedPerMs the rate of deliveries before the outage, in calls a millisecond
     */
    record KnownEndpoint(EndpointHealth health, boolean serving, double savedRate, double carriedPerMs) {
        /** One that has left the list counts as long as an outage does not fit into the time since its last delivery. */
        private boolean isInService(double now) {
            return health.state() == State.UP && (serving || now - health.lastDeliveredAt() < EndpointHealth.DOWN_MS);
        }
    }

    /** An outage or the recovery from it; {@code savedRate} as in {@link KnownEndpoint}. */
    record Outage(EndpointHealth health, double savedRate) {
    }

    /** Creates the state of a destination in service. The slow start after an outage takes {@code warmUpMs}. */
    DestinationHealth(double warmUpMs) {
        this.warmUpMs = warmUpMs;
    }

    /** Returns the outage, or the recovery, that an endpoint which is new to the destination has to continue. */
    Optional<Outage> outage() {
        return outage.filter(known -> known.health.state() != State.UP)
                .map(known -> new Outage(known.health, known.savedRate));
    }

    /** Updates the state from all known endpoints, also those that have left the list. Returns whether it changed. */
    boolean update(double now, List<KnownEndpoint> endpoints) {
        if (endpoints.stream().anyMatch(known -> known.isInService(now))) {
            outage = Optional.empty();
        } else {
            outage = endpoints.stream().filter(known -> known.health.state() != State.UP).max(BY_RELEVANCE).or(() -> outage);
        }
        State before = reported;
        reported = state();
        return reported != before;
    }

    /** Returns the state for the process after a restart; see {@link DeliveryPolicy.Actions#saveDestinationHealth}. */
    Health saved(double now) {
        return new Health(state(), now, outage.map(KnownEndpoint::carriedPerMs).orElse(0.0));
    }

    /** Restores the state that an earlier process saved. */
    void restore(double now, Health saved) {
        EndpointHealth health = new EndpointHealth(now, warmUpMs, (from, to, reason) -> { });
        health.restore(saved.state(), saved.since());
        outage = Optional.of(new KnownEndpoint(health, false, saved.carriedPerMs(), saved.carriedPerMs()));
        reported = saved.state();
    }

    private State state() {
        return outage.map(known -> known.health.state()).orElse(State.UP);
    }
}

package slipfield.policy;

import slipfield.policy.DeliveryPolicy.State;

/**
 * Tracks the state of one endpoint from the results of its calls: in service, in an outage (only single probes are sent), or
 * recovering from one. Detects endpoints that refuse connections, fail, hang or are shut down. An endpoint that is only slow may
 * be taken for one in an outage. Without I/O; times in milliseconds.
 */
final class EndpointHealth {
    /** Evidence of an outage lies between 0 and 1. A failed call closes this share of the gap to 1; a delivery multiplies it. */
    private static final double FAILURE_WEIGHT = 0.2;
    private static final double UNREACHABLE_WEIGHT = 0.6;
    private static final double DELIVERY_FACTOR = 0.6;
    /** The evidence from which an endpoint counts as down: five failed calls in a row, or one connection that fails. */
    private static final double DOWN_EVIDENCE = 0.6;
    /** The number of overdue calls without any delivery since, from which an endpoint counts as silent. */
    private static final int SILENT_CALLS = 2;
    /** This many failed or refused calls in a row, over at least this time, mean that the endpoint is down. */
    private static final int DOWN_CALLS = 3;
    static final double DOWN_MS = 2500;

    private final double warmUpMs;
    private final Listener listener;
    private State state = State.UP;
    private double evidence;
    private int overdueCalls;
    private int undelivered;
    private double firstUndeliveredAt;
    private double lastUndeliveredAt;
    private double lastDeliveredAt = Double.NEGATIVE_INFINITY;
    private double downAt = Double.NEGATIVE_INFINITY;
    /** When it last went down, it had been in service for longer than a slow start takes. */
    private boolean wasInService;
    /** The estimated time of its recovery, and the time of its first delivery after it, which is the latest possible one. */
    private double recoveredAt;
    private double firstDeliveryAt;
    private boolean onlySilent;
    /** Since it went down it has failed or refused calls, not only connections. */
    private boolean callsFailed;

    /** Called at each change of state. */
    interface Listener {
        void changed(State from, State to, String reason);
    }

    /** Creates the state of an endpoint in service. The slow start after an outage takes {@code warmUpMs}. */
    EndpointHealth(double now, double warmUpMs, Listener listener) {
        this.lastUndeliveredAt = now;
        this.warmUpMs = warmUpMs;
        this.listener = listener;
    }

    State state() {
        return state;
    }

    /** Returns the number of failed and refused calls since the last delivery. */
    int undeliveredCount() {
        return undelivered;
    }

    /** Returns the time of the last delivery, or negative infinity if there was none. */
    double lastDeliveredAt() {
        return lastDeliveredAt;
    }

    /** Returns the estimated time at which its last outage ended. */
    double recoveredAt() {
        return recoveredAt;
    }

    /** Returns the time at which its slow start ends at the latest. Meaningful during a slow start only. */
    double slowStartEndsAt() {
        return firstDeliveryAt + warmUpMs;
    }

    void delivered(double now, double sentAt) {
        // An outage that requires a slow start does not fit between deliveries this close together, unless calls failed in it.
        boolean tooShortForOutage = !callsFailed && wasInService && now - lastDeliveredAt < DOWN_MS;
        evidence *= DELIVERY_FACTOR;
        overdueCalls = 0;
        undelivered = 0;
        lastDeliveredAt = now;
        if (state == State.DOWN && onlySilent && sentAt < downAt) {
            change(State.UP, "was slow, not silent");
        } else if (state == State.DOWN && tooShortForOutage) {
            change(State.UP, "was not in an outage");
        } else if (state == State.DOWN) {
            // It recovered at some time since its last probe, on average halfway: with little traffic probes are seconds apart.
            recoveredAt = now - Math.min(now - lastUndeliveredAt, warmUpMs) / 2;
            firstDeliveryAt = now;
            change(State.WARMING, "answers again, slow start");
        }
        endSlowStartIfDue(now);
    }

    /** A call was refused; {@code requestedDelayMs} is the delay that the endpoint requested, or 0. */
    void refused(double now, double requestedDelayMs) {
        if (countUndelivered(now) || requestedDelayMs >= DOWN_MS) {
            down(now, "refuses all calls");
            callsFailed = true;
        }
        endSlowStartIfDue(now);
    }

    void unreachable(double now) {
        failedWith(now, UNREACHABLE_WEIGHT, "refuses connections");
    }

    /** A call was answered with an error or got no answer. */
    void failed(double now) {
        failedWith(now, FAILURE_WEIGHT, "calls fail");
        callsFailed |= state == State.DOWN;
    }

    /** A call takes longer than its usual answer time. Returns whether nothing was delivered since it was sent. */
    boolean overdue(double now, double sentAt) {
        if (lastDeliveredAt >= sentAt) {
            return false;
        }
        if (++overdueCalls >= SILENT_CALLS) {
            boolean wasDown = state == State.DOWN;
            down(now, "does not answer");
            onlySilent = !wasDown;
        }
        return true;
    }

    /** Calls to any endpoint of its destination have shown an outage; {@code callsLost} is false if only connections failed. */
    void destinationOutage(double now, boolean callsLost) {
        lastUndeliveredAt = now;
        down(now, "its destination is in an outage");
        callsFailed |= callsLost;
    }

    /** Ends the slow start if its time is over, also when no call has ended meanwhile. */
    void endSlowStartIfDue(double now) {
        if (state == State.WARMING && now >= slowStartEndsAt()) {
            change(State.UP, "slow start complete");
        }
    }

    /** Restores the state that an earlier process saved. */
    void restore(State saved, double since) {
        state = saved;
        if (state == State.WARMING) {
            recoveredAt = since;
            firstDeliveryAt = since;
        }
    }

    /**
     * Takes over the state of another endpoint of its destination, which is in an outage or recovers from one. This endpoint may
     * have been started just now.
     */
    void continueFrom(EndpointHealth other, double now) {
        state = other.state;
        lastDeliveredAt = other.lastDeliveredAt;
        lastUndeliveredAt = now;
        downAt = other.downAt;
        wasInService = other.wasInService;
        recoveredAt = other.recoveredAt;
        firstDeliveryAt = other.firstDeliveryAt;
        callsFailed = other.callsFailed;
    }

    private void failedWith(double now, double weight, String symptom) {
        evidence += (1 - evidence) * weight;
        if (countUndelivered(now) || evidence >= DOWN_EVIDENCE) {
            down(now, symptom);
        }
        endSlowStartIfDue(now);
    }

    private boolean countUndelivered(double now) {
        firstUndeliveredAt = undelivered++ == 0 ? now : firstUndeliveredAt;
        lastUndeliveredAt = now;
        return undelivered >= DOWN_CALLS && now - firstUndeliveredAt >= DOWN_MS;
    }

    private void down(double now, String symptom) {
        onlySilent = false;
        if (state != State.DOWN) {
            wasInService = state == State.UP && now - downAt > warmUpMs;
            downAt = now;
            callsFailed = false;
            change(State.DOWN, symptom + ", trials only");
        }
    }

    private void change(State next, String reason) {
        State from = state;
        state = next;
        listener.changed(from, next, reason);
    }
}

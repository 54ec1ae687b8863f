package slipfield.policy;

/**
 * Detects an outage of a destination from the results of consecutive calls to any of its endpoints. The first failed call makes
 * the destination suspected: until a call is delivered, calls are made one at a time. One more failed call confirms the outage.
 * Refusals weigh less, because rate limits cause them too. Few calls are enough, because a sender with little traffic makes few
 * calls in an outage, and the fleet stays within the load of a recovering destination only if every sender slows down. Without
 * I/O; times in milliseconds.
 */
final class OutageDetector {
    /** The evidence from which a destination is suspected, and from which the outage is confirmed. */
    private static final double SUSPECTED = 0.6;
    private static final double CONFIRMED = 1;
    /** The evidence of a failed call, of a refused call, and of a call refused while the rate limit is nearly used up. */
    private static final double FAILURE = 0.6;
    private static final double REFUSAL = 0.34;
    private static final double LIMIT_REFUSAL = 0.2;
    /**
     * With this share of a rate limit remaining or more, the limit does not explain a refusal. The margin is needed because the
     * reported share is up to a second old.
     */
    private static final double LIMIT_REMAINING = 0.25;
    /**
     * Refusals at least this far apart fall into two counting periods of a rate limit, so that the limit does not explain both:
     * the second one confirms the outage.
     */
    private static final double LIMIT_PERIOD_MS = 1000;

    private double evidence;
    private double evidenceSince;
    private double lastCountedAt;
    private int probes;
    private int failed;
    private int refused;
    private int unreachable;

    /** Returns whether the destination is suspected, so that calls are made one at a time. */
    boolean suspects() {
        return evidence >= SUSPECTED;
    }

    /** Returns whether the next call may be made now. */
    boolean allows() {
        return !suspects() || probes == 0;
    }

    /** A call is made while an outage is suspected; {@link #probeEnded} must follow. */
    void probeSent() {
        probes++;
    }

    void probeEnded() {
        probes--;
    }

    /** Returns the undelivered calls since the last delivery. */
    DeliveryPolicy.UndeliveredCalls undeliveredCalls() {
        return new DeliveryPolicy.UndeliveredCalls(failed, refused, evidenceSince);
    }

    /** Returns whether all undelivered calls since the last delivery failed because no connection could be established. */
    boolean isOnlyUnreachable() {
        return unreachable > 0 && unreachable == failed && refused == 0;
    }

    /** No connection could be established for a call; otherwise the same as {@link #failed}. */
    boolean unreachable(double now, double sentAt) {
        unreachable++;
        return failed(now, sentAt);
    }

    /** A call failed. Returns whether this confirms the outage. Calls that were in flight at the same time count once. */
    boolean failed(double now, double sentAt) {
        failed++;
        return addEvidence(now, sentAt, FAILURE);
    }

    /**
     * A call was refused. Returns whether this confirms the outage.
     *
     * @param remainingShare the reported remaining share of the rate limit, or less than 0 if not reported
     */
    boolean refused(double now, double sentAt, double remainingShare) {
        refused++;
        if (remainingShare >= 0 && remainingShare < LIMIT_REMAINING) {
            return addEvidence(now, sentAt, LIMIT_REFUSAL);
        }
        boolean persists = evidence > 0 && now - evidenceSince >= LIMIT_PERIOD_MS;
        return addEvidence(now, sentAt, persists ? CONFIRMED : REFUSAL);
    }

    void delivered() {
        evidence = 0;
        failed = 0;
        refused = 0;
        unreachable = 0;
    }

    /** A call is overdue, or a call of an earlier process failed or was in flight when the process ended. */
    void suspect(double now) {
        if (!suspects()) {
            addEvidence(now, now, SUSPECTED - evidence);
        }
    }

    private boolean addEvidence(double now, double sentAt, double weight) {
        if (evidence > 0 && sentAt < lastCountedAt) {
            return false;
        }
        evidenceSince = evidence == 0 ? now : evidenceSince;
        lastCountedAt = now;
        boolean wasConfirmed = evidence >= CONFIRMED;
        evidence += weight;
        return !wasConfirmed && evidence >= CONFIRMED;
    }
}

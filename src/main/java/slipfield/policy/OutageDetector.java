package slipfield.policy;

/**
 * Whether a destination may be in an outage, from calls made one after another to any of its endpoints. From the
 * first that fails, until one is delivered, a single call at a time goes out; one more that fails makes the outage
 * sure. Refusals weigh less, since a limit has them too. A sender with thin traffic sees few calls end in an
 * outage, and the rest of the fleet counts on each to slow down. Pure; times in ms.
 */
final class OutageDetector {
    /** From so much evidence on one call goes at a time; with so much an outage is sure. */
    private static final double SUSPICIOUS = 0.6;
    private static final double SURE = 1;
    /** The evidence of one call: failed; refused; refused while its limit is used up. */
    private static final double FAILURE = 0.6;
    private static final double REFUSAL = 0.34;
    private static final double LIMIT_REFUSAL = 0.2;
    /** With more than this share left, a limit is no sure reason to refuse: what is told is up to a second old. */
    private static final double LIMIT_LEFT = 0.25;
    /** Refusals further apart come from two spans of a limit's count, so that one more of them is enough. */
    private static final double LIMIT_SPAN_MS = 1000;

    private double evidence;
    private double since;
    private double countedAt;
    private int probes;
    private int failed;
    private int refused;
    private int unreachable;

    /** Whether calls since the last delivery are reason enough to send one at a time. */
    boolean suspects() {
        return evidence >= SUSPICIOUS;
    }

    /** Whether the next call may go. */
    boolean allows() {
        return !suspects() || probes == 0;
    }

    /** A call is sent while an outage is suspected; {@link #probeEnded} follows. */
    void probeSent() {
        probes++;
    }

    void probeEnded() {
        probes--;
    }

    /** What calls came to since the last delivery. */
    DeliveryPolicy.UndeliveredCalls undeliveredCalls() {
        return new DeliveryPolicy.UndeliveredCalls(failed, refused, since);
    }

    /** Whether nothing failed since the last delivery but connections that did not come up. */
    boolean isOnlyUnreachable() {
        return unreachable > 0 && unreachable == failed && refused == 0;
    }

    /** No connection came up for a call: the same as {@link #failed}. */
    boolean unreachable(double now, double sentAt) {
        unreachable++;
        return failed(now, sentAt);
    }

    /** A call failed. Returns whether it makes the outage sure; calls that were out together count once. */
    boolean failed(double now, double sentAt) {
        failed++;
        return count(now, sentAt, FAILURE);
    }

    /** A call was turned away, and told what share of its limit was left, or less than 0: the same. */
    boolean refused(double now, double sentAt, double left) {
        refused++;
        if (left >= 0 && left < LIMIT_LEFT) {
            return count(now, sentAt, LIMIT_REFUSAL);
        }
        boolean lasts = evidence > 0 && now - since >= LIMIT_SPAN_MS;
        return count(now, sentAt, lasts ? SURE : REFUSAL);
    }

    void delivered() {
        evidence = 0;
        failed = 0;
        refused = 0;
        unreachable = 0;
    }

    /** A call is out for long, or an earlier life had one that failed or was out when it ended. */
    void suspect(double now) {
        if (!suspects()) {
            count(now, now, SUSPICIOUS - evidence);
        }
    }

    private boolean count(double now, double sentAt, double weight) {
        if (evidence > 0 && sentAt < countedAt) {
            return false;
        }
        since = evidence == 0 ? now : since;
        countedAt = now;
        boolean wasSure = evidence >= SURE;
        evidence += weight;
        return !wasSure && evidence >= SURE;
    }
}

package slipfield.membership;

/**
 * How cautiously the view changes. All times are in ms.
 *
 * @param steadyMs an endpoint that was unusable is used again after it was usable for this time without a break; each further
 *     stop doubles the time
 * @param mostSteadyMs upper limit of that time
 * @param forgiveMs half-life of an endpoint's stops: after this time without a stop half of them are forgotten
 * @param mostShrink share of a pool, 0 to 1, that may be lost within {@code windowMs} without having been drained
 * @param windowMs losses within this time count as lost at once
 * @param acceptMs a view that lost more than this share is accepted once it has lasted for this time, unless it is empty
 */
public record MembershipRules(long steadyMs, long mostSteadyMs, long forgiveMs, double mostShrink, long windowMs, long acceptMs) {
    /** The rules that apply unless an operator sets others. */
    public static final MembershipRules DEFAULT = new MembershipRules(1000, 60_000, 30_000, 0.5, 10_000, 30_000);

    /** Checks the ranges; the error names the setting. */
    public MembershipRules {
        check(steadyMs >= 0, "steady must be 0 or more");
        check(mostSteadyMs >= steadyMs, "most_steady must be at least steady");
        check(forgiveMs > 0, "forgive must be above 0");
        check(mostShrink >= 0 && mostShrink <= 1, "most_shrink must be a share from 0 to 1");
        check(windowMs >= 0, "window must be 0 or more");
        check(acceptMs >= 0, "accept must be 0 or more");
    }

    private static void check(boolean valid, String rule) {
        if (!valid) {
            throw new IllegalArgumentException(rule);
        }
    }
}

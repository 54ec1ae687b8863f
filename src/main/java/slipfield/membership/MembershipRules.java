package slipfield.membership;

/**
 * How carefully a view is changed. All times in ms.
 *
 * @param steadyMs an endpoint that had stopped is used again once it was steady for so long; doubled by each further stop
 * @param mostSteadyMs never longer than this
 * @param forgiveMs after so long without a stop half of an endpoint's stops are forgotten
 * @param mostShrink share of a pool, 0 to 1, that may go within {@code windowMs} without being drained on purpose
 * @param windowMs what is lost within it counts as lost at once
 * @param acceptMs a shrunken view that has stood for so long is the new truth, unless it is empty
 */
public record MembershipRules(long steadyMs, long mostSteadyMs, long forgiveMs, double mostShrink, long windowMs, long acceptMs) {
    /** What holds where an operator says nothing. */
    public static final MembershipRules DEFAULT = new MembershipRules(1000, 60_000, 30_000, 0.5, 10_000, 30_000);

    /** Checks the ranges; the error names the field. */
    public MembershipRules {
        check(steadyMs >= 0, "steady is 0 or more");
        check(mostSteadyMs >= steadyMs, "most_steady is steady or more");
        check(forgiveMs > 0, "forgive is over 0");
        check(mostShrink >= 0 && mostShrink <= 1, "most_shrink is a share, 0 to 1");
        check(windowMs >= 0, "window is 0 or more");
        check(acceptMs >= 0, "accept is 0 or more");
    }

    private static void check(boolean holds, String rule) {
        if (!holds) {
            throw new IllegalArgumentException(rule);
        }
    }
}

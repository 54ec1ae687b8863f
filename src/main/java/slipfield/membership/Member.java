package slipfield.membership;

import java.util.Map;

/**
 * An endpoint in the merged view.
 *
 * @param statusBySource the status that each source reports; sources that don't list the endpoint are missing
 * @param used whether the decision module may choose it
 * @param reason why it is used or not
 * @param sinceMs when that reason began
 * @param usableAgainMs if it is damped, the earliest time at which it is used again; 0 otherwise
 */
public record Member(String id, Instance endpoint, Map<String, Status> statusBySource, boolean used, Reason reason, long sinceMs,
        long usableAgainMs) {
    /** Why an endpoint is used or not. */
    public enum Reason {
        /** Every source that lists it reports it as usable. */
        STEADY(true),
        /** It should not be used, but the pool would lose too many endpoints at once without it. */
        HELD(true),
        /** It is usable again, but not yet for long enough. */
        DAMPED(false),
        /** A source reports that it failed its health checks. */
        CRITICAL(false),
        /** A source reports that an operator has taken it out of service. */
        DRAINING(false),
        /** No source lists it any more. */
        GONE(false);

        private final boolean used;

        Reason(boolean used) {
            this.used = used;
        }

        /** Returns whether an endpoint in this state is used. */
        public boolean used() {
            return used;
        }
    }
}

package slipfield.membership;

import java.util.Map;

/**
 * An endpoint in the merged view.
 *
 * @param statusBySource what each source says of it; one that doesn't name it is not there
 * @param used whether the decision module may choose it
 * @param reason the reason for that
 * @param sinceMs when that began
 * @param usableAgainMs when it is used again at the earliest, where it is damped; 0 otherwise
 */
public record Member(String id, Instance endpoint, Map<String, Status> statusBySource, boolean used, Reason reason, long sinceMs,
        long usableAgainMs) {
    /** Why an endpoint is used, or isn't. */
    public enum Reason {
        /** All that name it let it be used. */
        STEADY(true),
        /** It should not be used, but the pool would lose too much at once without it. */
        HELD(true),
        /** It is back and may be used, but not steady for long enough. */
        DAMPED(false),
        /** A source says that it failed its checks. */
        CRITICAL(false),
        /** A source says that it is taken out on purpose. */
        DRAINING(false),
        /** No source names it any more. */
        GONE(false);

        private final boolean used;

        Reason(boolean used) {
            this.used = used;
        }

        /** Whether one of which this is said is used. */
        public boolean used() {
            return used;
        }
    }
}

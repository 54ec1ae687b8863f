package slipfield.membership;

/** What a source says of an endpoint. */
public enum Status {
    /** It may be used. */
    PASSING,
    /** It may be used; its source has told a lower weight, if any. */
    WARNING,
    /** It failed its checks: nothing new goes there. */
    CRITICAL,
    /** Somebody has taken it out on purpose: nothing new goes there, and no floor brings it back. */
    DRAINING;

    /** Whether it may be used. */
    public boolean usable() {
        return this == PASSING || this == WARNING;
    }
}

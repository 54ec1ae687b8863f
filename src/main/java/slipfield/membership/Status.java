package slipfield.membership;

/** The status that a source reports for an endpoint. A later constant is worse. */
public enum Status {
    /** It may be used. */
    PASSING,
    /** It may be used; its source may have reported a lower weight for it. */
    WARNING,
    /** It failed its health checks: nothing new is sent to it. */
    CRITICAL,
    /** An operator has taken it out of service: nothing new is sent to it, and the pool's floor does not bring it back. */
    DRAINING;

    /** Returns whether an endpoint with this status may be used. */
    public boolean usable() {
        return this == PASSING || this == WARNING;
    }
}

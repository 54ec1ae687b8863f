package slipfield.work.decide;

/** The urgency of background work, most urgent first. */
public enum Grade {
    /** Final answers depend on it: it runs before all other work, also while the event loop is late. */
    ENDS,
    /** The running service degrades without it. */
    LIVE,
    /** It should be done soon. */
    SOON,
    /** Nothing depends on it; it is shed if there are too many jobs. */
    IDLE
}

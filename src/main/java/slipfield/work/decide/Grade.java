package slipfield.work.decide;

/** How soon work matters; the order is that of importance. */
public enum Grade {
    /** Final answers wait for it: it goes before all else, and runs also while the loop is late. */
    ENDS,
    /** What is in service is worse without it. */
    LIVE,
    /** It should be done before long. */
    SOON,
    /** Nobody waits for it; where there is too much work it is shed. */
    IDLE
}

package slipfield.client.decide;

/**
 * What may be done again with orders of a class.
 *
 * @param windowMs keyed: for so long, in ms, the venue drops a repeat of a key
 * @param resendsUnheard keyed: whether an order whose hand-in was not answered is handed in again. It then carries the
 *     window, not its whole time, as its budget, from the first hand-in on: a copy that a sender holds unbeknown could
 *     otherwise run when the venue has forgotten the key
 */
public record ClassRule(Effect effect, long windowMs, boolean resendsUnheard) {
    /** Checks the ranges. */
    public ClassRule {
        if (effect == Effect.KEYED && windowMs <= 0) {
            throw new IllegalArgumentException("a keyed class has a window over 0 ms, not " + windowMs);
        }
    }

    /** Safe to repeat. */
    public static ClassRule safe() {
        return new ClassRule(Effect.SAFE, 0, true);
    }

    /** Keyed, with this window in ms, and resent where it was not answered. */
    public static ClassRule keyed(long windowMs) {
        return new ClassRule(Effect.KEYED, windowMs, true);
    }

    /** Not to be repeated. */
    public static ClassRule unsafe() {
        return new ClassRule(Effect.UNSAFE, 0, false);
    }
}

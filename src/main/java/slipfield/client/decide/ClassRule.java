package slipfield.client.decide;

/**
 * Which repeated submissions are allowed for the orders of a message class.
 *
 * @param windowMs for KEYED: how long, in ms, the venue drops further orders with the same key
 * @param resendsUnheard for KEYED: whether an order is submitted again when its submission got no answer. Its budget is then
 *     limited to the window, counted from the first submission: a sender may hold an earlier copy without the client
 *     knowing, and that copy could otherwise run after the venue has forgotten the key
 */
public record ClassRule(Effect effect, long windowMs, boolean resendsUnheard) {
    /** Throws {@link IllegalArgumentException} if a keyed class has no window. */
    public ClassRule {
        if (effect == Effect.KEYED && windowMs <= 0) {
            throw new IllegalArgumentException("the window of a keyed class must be over 0 ms, not " + windowMs);
        }
    }

    /** A class whose orders may run more than once. */
    public static ClassRule safe() {
        return new ClassRule(Effect.SAFE, 0, true);
    }

    /** A keyed class with this window in ms, whose orders are submitted again when a submission got no answer. */
    public static ClassRule keyed(long windowMs) {
        return new ClassRule(Effect.KEYED, windowMs, true);
    }

    /** A class whose orders must not run more than once. */
    public static ClassRule unsafe() {
        return new ClassRule(Effect.UNSAFE, 0, false);
    }
}

package slipfield.amqp.decide;

/**
 * Decides what becomes of messages that a broker may give to several consumers, one after the other. A broker delivers what was
 * not settled on a lost connection again, to any consumer, and what was requeued; it only tells that there was an earlier
 * delivery ({@code redelivered}), not what came of it. So a consumer that does not know the message must assume that it has run.
 */
public final class RedeliveryRule {
    /** How a message came to this sender. */
    public enum Origin {
        /** Published by a client of this sender. */
        PUBLISHED,
        /** Delivered by a broker, to this consumer first. */
        DELIVERED,
        /** Delivered by a broker after an earlier delivery, to this consumer or another. */
        REDELIVERED
    }

    private RedeliveryRule() {
    }

    /**
     * Whether a message of an unknown id must not run, because an earlier delivery may have run and nothing shows when.
     *
     * @param safeToRepeat whether messages of its class may run any number of times
     */
    public static boolean mayHaveRun(Origin origin, boolean safeToRepeat) {
        return origin == Origin.REDELIVERED && !safeToRepeat;
    }

    /**
     * Whether a message that can't be accepted now is kept and submitted again later. If it were requeued, nobody would know any
     * more that it has not run.
     *
     * @param safeToRepeat whether messages of its class may run any number of times
     */
    public static boolean keepsRefused(Origin origin, boolean safeToRepeat) {
        return origin != Origin.PUBLISHED && !safeToRepeat;
    }
}

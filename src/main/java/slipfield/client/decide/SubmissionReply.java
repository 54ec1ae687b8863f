package slipfield.client.decide;

/**
 * The result of one submission of an order to a sender.
 *
 * @param retryAfterMs for REFUSED: the delay that the sender requested, in ms; 0: none
 * @param scope for REFUSED: what the requested delay applies to
 * @param why a reason for display
 */
public record SubmissionReply(Kind kind, long retryAfterMs, Scope scope, String why) {
    /** What the result says about the order. */
    public enum Kind {
        /** A sender has accepted it. */
        ACCEPTED,
        /** It was not accepted, and may be submitted again. */
        REFUSED,
        /** It was not accepted, and will not be unless it is changed. */
        REJECTED,
        /** It was not written completely, so no sender can have accepted it. */
        UNSENT,
        /** No conclusive answer came: it may have been accepted. */
        LOST
    }

    /** What a requested delay applies to. */
    public enum Scope {
        /** All orders to the sender that requested it. */
        SENDER,
        /** All orders to the order's destination, at every sender. */
        DESTINATION,
        /** All orders of the order's tenant, at every sender. */
        TENANT
    }

    /** The sender accepted the order. */
    public static SubmissionReply accepted() {
        return new SubmissionReply(Kind.ACCEPTED, 0, Scope.SENDER, "");
    }

    /** The sender refused the order and requested this delay in ms; 0 or less: it requested none. */
    public static SubmissionReply refused(long retryAfterMs, Scope scope, String why) {
        return new SubmissionReply(Kind.REFUSED, Math.max(0, retryAfterMs), scope, why);
    }

    /** The sender will not accept the order unless it is changed. */
    public static SubmissionReply rejected(String why) {
        return new SubmissionReply(Kind.REJECTED, 0, Scope.SENDER, why);
    }

    /** The order was not written completely. */
    public static SubmissionReply unsent(String why) {
        return new SubmissionReply(Kind.UNSENT, 0, Scope.SENDER, why);
    }

    /** The order was written completely, and no conclusive answer came. */
    public static SubmissionReply lost(String why) {
        return new SubmissionReply(Kind.LOST, 0, Scope.SENDER, why);
    }
}

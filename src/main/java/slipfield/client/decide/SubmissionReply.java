package slipfield.client.decide;

/**
 * What became of one hand-in.
 *
 * @param retryAfterMs REFUSED: the time told to come back after, in ms; 0: none was told
 * @param scope REFUSED: what the wait holds for
 * @param why for people
 */
public record SubmissionReply(Kind kind, long retryAfterMs, Scope scope, String why) {
    /** What it proves. */
    public enum Kind {
        /** A sender has it. */
        ACCEPTED,
        /** It was not taken, and may be handed in again. */
        REFUSED,
        /** It was not taken, and never will be as it is. */
        REJECTED,
        /** Its last byte was never written. */
        UNSENT,
        /** Nothing is known: it may be taken. */
        LOST
    }

    /** What a told wait holds for. */
    public enum Scope {
        /** The sender that told it. */
        SENDER,
        /** The order's destination, at every sender. */
        DESTINATION,
        /** The order's tenant, at every sender. */
        TENANT
    }

    /** Taken. */
    public static SubmissionReply accepted() {
        return new SubmissionReply(Kind.ACCEPTED, 0, Scope.SENDER, "");
    }

    /** Refused, with a wait in ms, or 0. */
    public static SubmissionReply refused(long retryAfterMs, Scope scope, String why) {
        return new SubmissionReply(Kind.REFUSED, Math.max(0, retryAfterMs), scope, why);
    }

    /** Not taken as it is. */
    public static SubmissionReply rejected(String why) {
        return new SubmissionReply(Kind.REJECTED, 0, Scope.SENDER, why);
    }

    /** Never written whole. */
    public static SubmissionReply unsent(String why) {
        return new SubmissionReply(Kind.UNSENT, 0, Scope.SENDER, why);
    }

    /** Written whole, and not answered in a way that tells. */
    public static SubmissionReply lost(String why) {
        return new SubmissionReply(Kind.LOST, 0, Scope.SENDER, why);
    }
}

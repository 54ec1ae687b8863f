package slipfield.client.decide;

/**
 * What became of one hand-in.
 *
 * @param waitMs REFUSED: the time told to come back after, in ms; 0: none was told
 * @param scope REFUSED: what the wait holds for
 * @param why for people
 */
public record Heard(Kind kind, long waitMs, Scope scope, String why) {
    /** What it proves. */
    public enum Kind {
        /** A sender has it. */
        TAKEN,
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
    public static Heard taken() {
        return new Heard(Kind.TAKEN, 0, Scope.SENDER, "");
    }

    /** Refused, with a wait in ms, or 0. */
    public static Heard refused(long waitMs, Scope scope, String why) {
        return new Heard(Kind.REFUSED, Math.max(0, waitMs), scope, why);
    }

    /** Not taken as it is. */
    public static Heard rejected(String why) {
        return new Heard(Kind.REJECTED, 0, Scope.SENDER, why);
    }

    /** Never written whole. */
    public static Heard unsent(String why) {
        return new Heard(Kind.UNSENT, 0, Scope.SENDER, why);
    }

    /** Written whole, and not answered in a way that tells. */
    public static Heard lost(String why) {
        return new Heard(Kind.LOST, 0, Scope.SENDER, why);
    }
}

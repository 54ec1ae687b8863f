package slipfield.client.decide;

/** The one final answer of an order. */
public sealed interface End {
    /** A venue has it. */
    record Delivered() implements End {
    }

    /** A sender has it, and owes it its end, which this client does not follow. */
    record Taken(String sender) implements End {
    }

    /** It did not run, and may be handed in anew. {@code comeBackMs}: after so long, in ms; 0: nobody said when. */
    record Refused(long comeBackMs, String why) implements End {
    }

    /** It was given up. {@code mayHaveRun}: whether it may have had its effect, or is proved not to have had it. */
    record Failed(boolean mayHaveRun, String why) implements End {
    }

    /** Nobody knows; {@code taken}: a sender is known to have it. It may have run, or may yet. */
    record Unknown(boolean taken, String why) implements End {
    }
}

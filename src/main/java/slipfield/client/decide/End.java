package slipfield.client.decide;

/** The final answer to an order; each order gets exactly one. */
public sealed interface End {
    /** A venue has received the order. */
    record Delivered() implements End {
    }

    /** A sender has accepted the order; its final answer is not known because this client does not follow answers. */
    record Taken(String sender) implements End {
    }

    /** The order did not run and may be submitted anew. {@code comeBackMs}: requested delay in ms; 0: none was requested. */
    record Refused(long comeBackMs, String why) implements End {
    }

    /** The order failed. {@code mayHaveRun}: true if it may have had its effect, false if it certainly had none. */
    record Failed(boolean mayHaveRun, String why) implements End {
    }

    /** The outcome is unknown: the order may have run, or may still run. {@code taken}: a sender is known to have accepted it. */
    record Unknown(boolean taken, String why) implements End {
    }
}

package slipfield.client.decide;

/** What happens if an order runs twice, and therefore when it may be submitted again. */
public enum Effect {
    /** A second run does no harm: the order may be submitted again until its deadline. */
    SAFE,
    /** The venue drops repeats of a key for a limited time: the order may be submitted again within that time. */
    KEYED,
    /** A second run has a second effect: the order is submitted again only if no sender can have accepted it. */
    UNSAFE
}

package slipfield.client.decide;

/** What becomes of an order that runs twice. */
public enum Effect {
    /** No harm: it may be handed in again until its time is over. */
    SAFE,
    /** The venue drops a repeat of its key for a time: it may be handed in again within that. */
    KEYED,
    /** A second effect: it is handed in again only where it is proved that it was not taken. */
    UNSAFE
}

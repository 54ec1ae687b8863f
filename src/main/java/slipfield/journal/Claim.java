package slipfield.journal;

/**
 * Who has to hear of a message's end.
 *
 * @param outcome the name of the outcome that tells it, such as {@code platform}
 * @param peer whom that one tells: a client's own name for itself, or empty where there is one peer only
 * @param delivered whether it is told of deliveries too, not of refusals and failures alone
 * @param keep whether the answer is kept for a peer that went away before it; else it is dropped then
 */
public record Claim(String outcome, String peer, boolean delivered, boolean keep) {
    /** The platform's notices, which say nothing of what was delivered: all that journals before this form had. */
    public static final Claim PLATFORM = new Claim("platform", "", false, true);
}

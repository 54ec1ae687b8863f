package slipfield.journal;

/**
 * Who has to hear of a message's end.
 *
 * @param channel the name of the outcome that tells it, such as {@code platform}
 * @param peer whom that one tells: a client's own name for itself, or empty where there is one peer only
 * @param includesDeliveries whether it is told of deliveries too, not of refusals and failures alone
 * @param keepsAnswers whether the answer is kept for a peer that went away before it; else it is dropped then
 */
public record AnswerRecipient(String channel, String peer, boolean includesDeliveries, boolean keepsAnswers) {
    /** The platform's notices, which say nothing of what was delivered: all that journals before this form had. */
    public static final AnswerRecipient PLATFORM = new AnswerRecipient("platform", "", false, true);
}

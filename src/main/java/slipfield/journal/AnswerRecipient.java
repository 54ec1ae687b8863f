package slipfield.journal;

/**
 * Somebody who is to receive a message's final answer.
 *
 * @param channel the name of the channel that carries the answer, such as {@code platform}
 * @param peer the client's own name for itself on that channel; empty where the channel has one peer only
 * @param includesDeliveries whether deliveries are reported too, or refusals and failures only
 * @param keepsAnswers whether an answer is kept for a peer that disconnected before it; otherwise it is dropped
 */
public record AnswerRecipient(String channel, String peer, boolean includesDeliveries, boolean keepsAnswers) {
    /** The platform's notices, which don't report deliveries. Journals from before recipients were recorded know no other one. */
    public static final AnswerRecipient PLATFORM = new AnswerRecipient("platform", "", false, true);
}

package slipfield.journal;

/** A final answer that one claimant of a message still has to hear. */
public record PendingAnswer(PendingMessage message, AnswerRecipient recipient) {
}

package slipfield.journal;

/** A message's final answer that one recipient has not acknowledged yet. */
public record PendingAnswer(PendingMessage message, AnswerRecipient recipient) {
}

package slipfield.core;

import slipfield.journal.PendingAnswer;

/**
 * Where final answers go: each is told until it was heard. Hearing one twice does no harm; one that is not heard
 * is a lost message. Which answers go where, and whether delivered messages are told of at all, is in the
 * message's {@link slipfield.journal.AnswerRecipient}s.
 */
public interface AnswerChannel {
    /** Owes this answer, from the next {@link #flush} on; the core is told once it was heard. */
    void enqueue(PendingAnswer answer);

    /** Sends what is owed, as far as it can be sent now: called at the end of each turn. */
    void flush();

    /** Answers that were not heard yet. */
    int pendingCount();
}

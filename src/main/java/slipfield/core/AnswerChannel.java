package slipfield.core;

import slipfield.journal.PendingAnswer;

/**
 * Sends final answers to their recipients, each again until it is acknowledged. A duplicate answer is harmless, but a message
 * whose answer never arrives is lost. Each {@link slipfield.journal.AnswerRecipient} of a message names its channel, and says
 * whether the recipient gets an answer for a delivered message too.
 */
public interface AnswerChannel {
    /** Adds an answer, to be sent from the next {@link #flush} on. The core is notified when it is acknowledged. */
    void enqueue(PendingAnswer answer);

    /** Sends as many pending answers as possible now. Called at the end of each event-loop iteration. */
    void flush();

    /** The number of answers that are not acknowledged yet. */
    int pendingCount();
}

package slipfield.core;

import java.util.List;
import java.util.Optional;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;

/** Accepts messages from frontends. All methods are called on the core's event loop. */
public interface MessageIntake {
    /**
     * A message that a client submits.
     *
     * @param budgetMs how long the client waits for the final answer, in milliseconds
     * @param recipients the recipients of the final answer, one at least
     */
    record Submission(String id, String messageClass, String tenant, Optional<String> key, long destination,
                      long budgetMs, byte[] body, List<AnswerRecipient> recipients) {
    }

    /**
     * Whether a submission was accepted.
     *
     * @param message the pending message; empty if the submission was refused
     * @param reason why it was refused
     * @param waitMs after how many milliseconds the client should try again, or 0
     * @param destination whether {@code waitMs} applies to the submission's destination only
     */
    record SubmissionResult(Optional<PendingMessage> message, String reason, long waitMs, boolean destination) {
        /** The submission is accepted as this message. */
        public static SubmissionResult accepted(PendingMessage message) {
            return new SubmissionResult(Optional.of(message), "", 0, false);
        }

        /** The submission is refused. */
        public static SubmissionResult refused(String reason, long waitMs) {
            return new SubmissionResult(Optional.empty(), reason, waitMs, false);
        }
    }

    /** What is known of a message whose id is submitted again. */
    enum DuplicateState {
        /** The message is pending; it is not accepted twice. */
        PENDING,
        /** The message was delivered recently. */
        DELIVERED,
        /** The message was refused or failed recently. */
        UNDELIVERED
    }

    /** Whether messages can be accepted now. */
    boolean ready();

    /** Whether the settings define this message class. */
    boolean knowsClass(String name);

    /** Whether this tenant may submit messages. */
    boolean knowsTenant(String name);

    /** Whether messages of this class need a key by which the destination drops repeated deliveries. */
    boolean needsKey(String messageClass);

    /** Whether messages of this class may run any number of times. */
    boolean safeToRepeat(String messageClass);

    /** Whether an endpoint list has ever named this destination, even if its endpoints have left. */
    boolean knowsDestination(long destination);

    /**
     * The state of the message with this id, if it is pending or ended recently. A pending message gets the recipient as a
     * further one, unless it has it already.
     */
    Optional<DuplicateState> checkDuplicate(String id, AnswerRecipient claim);

    /** A peer of this answer channel has left for good: its answers that need not be kept are dropped. */
    void recipientGone(String outcome, String peer);

    /**
     * Accepts a message or refuses it. An accepted message is in the journal only once {@link #writeAccepted} has returned true.
     * Only then may its client be told, and the call must be made before the next event-loop iteration.
     */
    SubmissionResult submit(Submission submission);

    /**
     * Writes the messages that were accepted to the journal in one write. If it returns false, each of them must be refused
     * unless it {@link #isRecorded}.
     */
    boolean writeAccepted();

    /**
     * Whether a message is in the journal although {@link #writeAccepted} returned false: the write failed after its record, and
     * the file could not be truncated. The process after a restart would send it, so it counts as accepted.
     */
    default boolean isRecorded(PendingMessage message) {
        return false;
    }

    /**
     * Reports whether the client has received the acceptance of its message. False if it never will, as for each message that
     * {@link #writeAccepted} did not write.
     */
    void acceptanceReported(PendingMessage message, boolean received);
}

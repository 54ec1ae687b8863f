package slipfield.core;

import java.util.List;
import java.util.Optional;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;

/** Where fronts hand messages in. Called on the core's thread. */
public interface MessageIntake {
    /** What a client asks to be delivered, and who has to hear of its end: one claimant at least. */
    record Submission(String id, String messageClass, String tenant, Optional<String> key, long destination,
                      long budgetMs, byte[] body, List<AnswerRecipient> recipients) {
    }

    /**
     * What became of a submission: it is held, or refused, with the time to come back after in ms, or 0; {@code
     * destination}: that time holds for its destination alone.
     */
    record SubmissionResult(Optional<PendingMessage> message, String reason, long waitMs, boolean destination) {
        /** It is held. */
        public static SubmissionResult accepted(PendingMessage held) {
            return new SubmissionResult(Optional.of(held), "", 0, false);
        }

        /** It is refused. */
        public static SubmissionResult refused(String reason, long waitMs) {
            return new SubmissionResult(Optional.empty(), reason, waitMs, false);
        }
    }

    /** What is known of an id that was handed in before. */
    enum DuplicateState {
        /** It is held: it is not taken twice. */
        PENDING,
        /** It was delivered a moment ago. */
        DELIVERED,
        /** It was refused or failed a moment ago. */
        UNDELIVERED
    }

    /** Whether messages can be taken now. */
    boolean ready();

    /** Whether the module knows this class. */
    boolean knowsClass(String name);

    /** Whether this tenant may hand in messages. */
    boolean knowsTenant(String name);

    /** Whether messages of this class need a key that drops their repeats. */
    boolean needsKey(String messageClass);

    /** Whether a list has ever named this destination, be its endpoints away or not. */
    boolean knowsDestination(long destination);

    /**
     * How a message with this id was answered before, if one is held, or was until a moment ago. One that is
     * held is told to this claimant too from now on, unless it is one of its claimants already.
     */
    Optional<DuplicateState> checkDuplicate(String id, AnswerRecipient claim);

    /** A peer of this outcome has left for good: answers that were not to be kept for it are dropped. */
    void recipientGone(String outcome, String peer);

    /**
     * Takes a message on, or refuses it. It is in the journal when {@link #written} has said so: only then may its
     * client be told, and it must be called before the loop's next turn.
     */
    SubmissionResult submit(Submission submission);

    /** Writes what was taken, in one piece; false: it could not, and each must be refused that is not {@link #recorded}. */
    boolean writeAccepted();

    /**
     * Whether a message is in the journal though {@link #written} said no: the write failed behind its record, and the file
     * could not be cut. The next life would go on with it, so it counts as taken on.
     */
    default boolean isRecorded(PendingMessage held) {
        return false;
    }

    /** The client has heard that it was taken, or never will; what was not {@link #written} it never will. */
    void acceptanceReported(PendingMessage held, boolean heard);
}

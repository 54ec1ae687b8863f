package slipfield.journal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * An accepted message, with everything that its journal records of it. After a restart this decides whether and how the
 * message may be sent again.
 */
public final class PendingMessage {
    public final long number;
    public final String id;
    public final String messageClass;
    public final String tenant;
    public final Optional<String> key;
    public final long destination;
    /** Wall time in ms since 1970, because it has to hold in the process after a restart. */
    public final long deadlineMs;
    public final byte[] body;
    public final List<Attempt> attempts = new ArrayList<>();
    /** Who has not acknowledged the final answer yet; a recipient is removed when it acknowledges. */
    public final List<AnswerRecipient> recipients = new ArrayList<>(1);
    /** The final answer, while recipients have yet to acknowledge it. */
    public Optional<Notice> pendingNotice = Optional.empty();
    /** When this process accepted the message or restored it from the journal, by the wall clock. */
    public final long acceptedMs = System.currentTimeMillis();
    /** When the final answer was given, by the wall clock; 0: not in this process. For the trace, like {@link #acceptedMs}. */
    public long answeredMs;
    /** How many ms {@link #deadlineMs} lies before the client's own deadline; 0 where an older record format did not say. */
    public int reserveMs;
    /** Bytes of its records in the journal. */
    long bytes;
    /** The client was told that the message was accepted; true for every message restored from the journal. */
    public boolean acceptanceReported;
    /** No further attempt may be made: the message was delivered, withdrawn, or answered by a notice. */
    public boolean finished;

    /**
     * An attempt. It counts as one that may have run, even if this process is killed, unless its end proved otherwise or it still
     * waits to begin.
     */
    public static final class Attempt {
        public final String endpoint;
        public final long sentAtMs;
        /** Its end proved that it did not run. */
        public boolean neverRan;
        /** Not one byte of it has been written yet, for example since its connection is still being established. */
        public boolean waitsToBegin;

        public Attempt(String endpoint, long sentAtMs) {
            this.endpoint = endpoint;
            this.sentAtMs = sentAtMs;
        }

        /** Whether the message may have taken effect, or may still do so, by this attempt. */
        public boolean mayHaveRun() {
            return !neverRan && !waitsToBegin;
        }
    }

    /** The kinds of final answer. */
    public enum FinalAnswer {
        /** Refused, with the time after which to submit it again where there is one. */
        REFUSED,
        /** Given up; the message may or may not have taken effect. */
        FAILED,
        /** Delivered. */
        DELIVERED
    }

    /** The final answer that recipients have yet to acknowledge; {@code waitMs}: submit again after this time, or 0. */
    public record Notice(FinalAnswer answer, double waitMs) {
    }

    public PendingMessage(long number, String id, String messageClass, String tenant, Optional<String> key, long destination,
            long deadlineMs, byte[] body, AnswerRecipient recipient) {
        this.number = number;
        this.id = id;
        this.messageClass = messageClass;
        this.tenant = tenant;
        this.key = key;
        this.destination = destination;
        this.deadlineMs = deadlineMs;
        this.body = body;
        this.recipients.add(recipient);
    }

    /** A message whose only recipient is the platform. */
    public PendingMessage(long number, String id, String messageClass, String tenant, Optional<String> key, long destination,
            long deadlineMs, byte[] body) {
        this(number, id, messageClass, tenant, key, destination, deadlineMs, body, AnswerRecipient.PLATFORM);
    }
    /** Whether the message may have taken effect by any of its attempts. */
    public boolean mayHaveRun() {
        return attempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    /** Whether a finished message was delivered. */
    public boolean wasDelivered() {
        return pendingNotice.isEmpty() || pendingNotice.get().answer() == FinalAnswer.DELIVERED;
    }
}

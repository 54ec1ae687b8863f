package slipfield.journal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A message that this sender has taken on, with all that its journal must know of it: who may send it again,
 * and how, is decided from this after a restart.
 */
public final class PendingMessage {
    public final long number;
    public final String id;
    public final String messageClass;
    public final String tenant;
    public final Optional<String> key;
    public final long destination;
    /** Wall time, since it must hold in a later life. */
    public final long deadlineMs;
    public final byte[] body;
    public final List<Attempt> attempts = new ArrayList<>();
    /** Who has still to hear of its end; those who heard are taken off. */
    public final List<AnswerRecipient> recipients = new ArrayList<>(1);
    public Optional<Notice> pendingNotice = Optional.empty();
    /** Since when this life holds it, by the wall clock. */
    public final long acceptedMs = System.currentTimeMillis();
    /** When it was ended by a notice, by the wall clock; 0: not in this life. Like {@link #acceptedMs} for the trace. */
    public long answeredMs;
    /** So much sooner than its client's time is up, in ms, {@link #deadlineMs} is; 0 where an earlier form did not tell. */
    public int reserveMs;
    /** Bytes of its records in the journal. */
    long bytes;
    /** Its client has heard that it was taken; what comes back from the journal counts as heard. */
    public boolean acceptanceReported;
    /** Nothing may be sent for it any more: delivered, over, or ended by a notice. */
    public boolean finished;

    /** An attempt; it may have run unless its end proved otherwise, whatever became of this process. */
    public static final class Attempt {
        public final String endpoint;
        public final long sentAtMs;
        public boolean neverRan;

        public Attempt(String endpoint, long sentAtMs) {
            this.endpoint = endpoint;
            this.sentAtMs = sentAtMs;
        }
    }

    /** How a message ended. */
    public enum FinalAnswer {
        /** Refused, with the time to come back where there is one. */
        REFUSED,
        /** Given up, with no promise about its effect. */
        FAILED,
        /** Delivered. */
        DELIVERED
    }

    /** The end that claimants must still hear of; {@code waitMs}: the time to come back after, or 0. */
    public record Notice(FinalAnswer answer, double waitMs) {
    }

    public PendingMessage(long number, String id, String messageClass, String tenant, Optional<String> key, long destination,
            long deadlineMs, byte[] body, AnswerRecipient claim) {
        this.number = number;
        this.id = id;
        this.messageClass = messageClass;
        this.tenant = tenant;
        this.key = key;
        this.destination = destination;
        this.deadlineMs = deadlineMs;
        this.body = body;
        this.recipients.add(claim);
    }

    /** A message that the platform has to hear of alone. */
    public PendingMessage(long number, String id, String messageClass, String tenant, Optional<String> key, long destination,
            long deadlineMs, byte[] body) {
        this(number, id, messageClass, tenant, key, destination, deadlineMs, body, AnswerRecipient.PLATFORM);
    }
}

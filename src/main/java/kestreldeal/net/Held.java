package kestreldeal.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A message that this sender has taken on, with all that its journal must know of it: who may send it again,
 * and how, is decided from this after a restart.
 */
final class Held {
    final long number;
    final String id;
    final String messageClass;
    final String tenant;
    final Optional<String> key;
    final long destination;
    /** Wall time, since it must hold in a later life. */
    final long deadlineMs;
    final byte[] body;
    final List<Attempt> attempts = new ArrayList<>();
    Optional<Notice> owed = Optional.empty();
    /** Since when this life holds it, by the wall clock. */
    final long takenMs = System.currentTimeMillis();
    /** When it was ended by a notice, by the wall clock; 0: not in this life. Like {@link #takenMs} for the trace. */
    long endedMs;
    /** Bytes of its records in the journal. */
    long bytes;
    /** Its client has heard that it was taken; what comes back from the journal counts as heard. */
    boolean told;
    /** Nothing may be sent for it any more: delivered, over, or ended by a notice. */
    boolean over;

    /** An attempt; it may have run unless its end proved otherwise, whatever became of this process. */
    static final class Attempt {
        final String endpoint;
        final long sentAtMs;
        boolean neverRan;

        Attempt(String endpoint, long sentAtMs) {
            this.endpoint = endpoint;
            this.sentAtMs = sentAtMs;
        }
    }

    /** The end that the platform must still hear of. */
    record Notice(boolean bounced, double waitMs) {
    }

    Held(long number, String id, String messageClass, String tenant, Optional<String> key, long destination,
            long deadlineMs, byte[] body) {
        this.number = number;
        this.id = id;
        this.messageClass = messageClass;
        this.tenant = tenant;
        this.key = key;
        this.destination = destination;
        this.deadlineMs = deadlineMs;
        this.body = body;
    }
}

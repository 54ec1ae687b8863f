package slipfield.front.http;

import java.util.Locale;

/** Why the frontend closed a client's connection. */
enum CloseReason {
    /** No request for longer than an idle connection is kept. */
    IDLE(false),
    /** No request at all since it was opened. */
    SILENT(true),
    /** A request was not received completely in time. */
    REQUEST_TIMEOUT(true),
    /** Answers were not read in time. */
    ANSWERS_UNREAD(true),
    /** To make room for another connection. */
    EVICTED(true),
    /** An incomplete request took memory that all connections together did not have. */
    MEMORY(true),
    /** What was received is not HTTP, or ambiguous. */
    INVALID(true),
    /** The header or body of a request is over its limit. */
    TOO_LARGE(true),
    /** The sender shuts down, or the client asked for the close. */
    LAST_REQUEST(false),
    /** The connection was lost or reset. */
    CONNECTION_LOST(false),
    /** An unexpected exception. */
    FAULT(true);

    private final boolean notable;

    CloseReason(boolean notable) {
        this.notable = notable;
    }

    /** Whether it is not part of normal operation. */
    boolean notable() {
        return notable;
    }

    /** Its name in the log. */
    String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

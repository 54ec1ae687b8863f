package slipfield.core;

import slipfield.journal.PendingMessage;
import slipfield.log.Log;

/** Tells the people on call how late this sender is, where that is more than any rule leaves: it gets too little of its core. */
final class LatenessLog {
    /** Due things that are done so much later, in ms, are told: all deadlines are meant for less. */
    private static final double LOOP_MS = 1000;

    private LatenessLog() {
    }

    /** Something that was due was done so many milliseconds later. */
    static void due(double lateMs) {
        if (lateMs >= LOOP_MS) {
            Log.warn("loop.late", "late_ms", Math.round(lateMs));
        }
    }

    /**
     * A message is ended, so many milliseconds after it should have been.
     *
     * @param reserveMs how much of that was kept back for ends that come late
     */
    static void ended(PendingMessage held, long lateMs, long reserveMs, boolean inService) {
        if (lateMs > reserveMs) {
            Log.warn("message.ended_late", "message", held.id, "late_ms", lateMs - reserveMs, "attempts",
                    held.attempts.size(), "in", inService ? "service" : "recovery");
        }
    }
}

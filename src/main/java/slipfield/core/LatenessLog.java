package slipfield.core;

import slipfield.journal.PendingMessage;
import slipfield.log.Log;

/** Logs for operators how late this sender is, if that exceeds what any deadline allows for: it gets too little CPU time. */
final class LatenessLog {
    /** A timer that fires this late, in ms, is logged: no deadline allows for so much. */
    private static final double LATE_TIMER_MS = 1000;

    private LatenessLog() {
    }

    /** A timer has fired {@code lateMs} milliseconds after its time. */
    static void timerFired(double lateMs) {
        if (lateMs >= LATE_TIMER_MS) {
            Log.warn("loop.late", "late_ms", Math.round(lateMs));
        }
    }

    /**
     * A message has ended undelivered.
     *
     * @param lateMs how long after its time it has ended, in milliseconds
     * @param reserveMs how much of that was reserved for late answers
     */
    static void messageEnded(PendingMessage message, long lateMs, long reserveMs, boolean inService) {
        if (lateMs > reserveMs) {
            Log.warn("message.ended_late", "message", message.id, "late_ms", lateMs - reserveMs, "attempts",
                    message.attempts.size(), "in", inService ? "service" : "recovery");
        }
    }
}

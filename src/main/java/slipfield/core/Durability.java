package slipfield.core;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import slipfield.journal.PendingMessage;
import slipfield.journal.Journal;
import slipfield.log.Log;

/**
 * Tracks whether the journal on disk is complete, and holds back final answers while it is not. While the journal can't be
 * written, no attempt is made, since the process after a restart would not know of it. A final answer is held back if the
 * process after a restart could contradict it by sending the message again. It is sent nevertheless shortly before its client
 * stops waiting. The write is retried until it succeeds. All methods are called on the event loop.
 */
final class Durability {
    private static final long RETRY_MS = 20;
    /** Pause after a failed try, as a multiple of the time that the try took; it leaves the event loop time for other work. */
    private static final long PAUSE_PER_TRY = 4;
    /** Tries in one event-loop iteration. If every other write fails, one iteration in eight fails. */
    private static final int MAX_TRIES = 3;
    /** An answer that can't be recorded is sent this long before its client stops waiting: the time that a notice needs. */
    private static final long SEND_BEFORE_MS = 300;

    /** What depends on the state of the journal. */
    interface Listener {
        /** Attempts can be recorded from now on, or can't any more. */
        void recordingChanged(boolean possible);

        /** The final answer of this message may be sent. */
        void send(PendingMessage ended);

        /** Milliseconds since 1970, by the clock of this process. */
        long wallMs();
    }

    private final EventLoop loop;
    private final Journal journal;
    private final Predicate<PendingMessage> mayResend;
    private final Listener listener;
    /** Ended messages whose answer is not sent yet. */
    private final Deque<PendingMessage> ended = new ArrayDeque<>();
    private boolean complete = true;
    private long incompleteSinceNanos;
    private long lastTryNanos;
    /** Pause until the next try to write everything. */
    private long pauseMs = RETRY_MS;

    /** {@code mayResend}: whether the process after a restart would send the message again if its end is not recorded. */
    Durability(EventLoop loop, Journal journal, Predicate<PendingMessage> mayResend, Listener listener) {
        this.loop = loop;
        this.journal = journal;
        this.mayResend = mayResend;
        this.listener = listener;
        journal.useExplicitRepair();
    }

    /** Writes the collected records. Returns false if any of them, or of those before, is not in the file. */
    boolean flush() {
        if (!complete && System.nanoTime() - lastTryNanos < TimeUnit.MILLISECONDS.toNanos(pauseMs)) {
            // Each try writes everything that is held, so it is not made in every iteration.
            journal.discardBatch();
            return false;
        }
        long startedNanos = System.nanoTime();
        int tries = complete ? MAX_TRIES : 1;
        IOException cause = null;
        for (int i = 0; i < tries; i++) {
            try {
                journal.flushBatch();
                journal.repair();
                succeeded();
                return true;
            } catch (IOException e) {
                cause = e;
            }
        }
        failed(startedNanos);
        Log.error("journal.turn_unwritten", "cause", cause);
        check();
        return false;
    }

    /** Starts the retries if a record could not be written. */
    void check() {
        if (complete && journal.isStale()) {
            complete = false;
            incompleteSinceNanos = System.nanoTime();
            listener.recordingChanged(false);
            loop.schedule(this::repair, pauseMs, TimeUnit.MILLISECONDS);
        }
    }

    private void failed(long startedNanos) {
        lastTryNanos = System.nanoTime();
        pauseMs = Math.max(RETRY_MS, PAUSE_PER_TRY * TimeUnit.NANOSECONDS.toMillis(lastTryNanos - startedNanos));
    }

    private void repair() {
        if (complete) {
            return;
        }
        long startedNanos = System.nanoTime();
        try {
            journal.repair();
            succeeded();
        } catch (IOException | RuntimeException e) {
            failed(startedNanos);
            Log.error("journal.still_unwritten", "for_ms", incompleteMs(), "ends_held", ended.size(), "cause", e);
            loop.schedule(this::repair, pauseMs, TimeUnit.MILLISECONDS);
        }
        release();
    }

    private long incompleteMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - incompleteSinceNanos);
    }

    private void succeeded() {
        if (!complete) {
            complete = true;
            pauseMs = RETRY_MS;
            Log.info("journal.written_again", "after_ms", incompleteMs(), "ends_held", ended.size());
            listener.recordingChanged(true);
        }
    }

    /** Adds the message to those whose answer {@link #release} sends as soon as allowed. */
    void enqueue(PendingMessage message) {
        ended.add(message);
    }

    /** Sends the answers that may be sent now. */
    void release() {
        for (int left = ended.size(); left > 0; left--) {
            PendingMessage message = ended.remove();
            if (!journal.isStale() || !mayResend.test(message) || isDue(message)) {
                listener.send(message);
            } else {
                ended.add(message);
            }
        }
    }

    private boolean isDue(PendingMessage message) {
        boolean due = listener.wallMs() >= message.deadlineMs + message.reserveMs - SEND_BEFORE_MS;
        if (due) {
            Log.error("message.end_told_unwritten", "message", message.id);
        }
        return due;
    }

    /** The number of ended messages whose answer is not sent yet. */
    int pendingCount() {
        return ended.size();
    }
}

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
 * Whether the journal holds all that the sender has done, and what waits until it does. While it can't be written no attempt is
 * made, since the next life would not know of it, and no end is told that the next life could contradict by going on with the
 * message; an end is told all the same before its client's time is over. Writing is tried again until it works. All on the event
 * loop.
 */
final class Durability {
    private static final long REPAIR_MS = 20;
    /** A try that takes long is followed by a pause so many times as long, so that the event loop has time for the rest. */
    private static final long PAUSE_PER_TRY = 4;
    /** Tries within one turn: a failure of one write in two is then met in one turn of eight. */
    private static final int TRIES = 3;
    /** An end that can't be recorded is told so long before its client's time is over: the way of a notice. */
    private static final long TOLD_BEFORE_MS = 300;

    /** What hangs on the journal. */
    interface Effects {
        /** Whether attempts can be recorded has changed. */
        void recording(boolean possible);

        /** This end may be told. */
        void tell(PendingMessage ended);

        /** Milliseconds since 1970, by this life's reckoning. */
        long wallMs();
    }

    private final EventLoop loop;
    private final Journal journal;
    private final Predicate<PendingMessage> mayGoOn;
    private final Effects effects;
    /** Ended, and not told yet. */
    private final Deque<PendingMessage> ended = new ArrayDeque<>();
    private boolean whole = true;
    private long brokenNanos;
    private long triedNanos;
    /** Until the next try to write all that is held. */
    private long pauseMs = REPAIR_MS;

    /** {@code mayGoOn}: whether a next life that knows of no end would send the message again. */
    Durability(EventLoop loop, Journal journal, Predicate<PendingMessage> mayGoOn, Effects effects) {
        this.loop = loop;
        this.journal = journal;
        this.mayGoOn = mayGoOn;
        this.effects = effects;
        journal.useExplicitRepair();
    }

    /** Writes what was collected; false: something of it, or from before, is not in the file. */
    boolean flush() {
        if (!whole && System.nanoTime() - triedNanos < TimeUnit.MILLISECONDS.toNanos(pauseMs)) {
            // Each try writes all that is held: not one in every turn.
            journal.discardBatch();
            return false;
        }
        long begunNanos = System.nanoTime();
        int tries = whole ? TRIES : 1;
        IOException cause = null;
        for (int i = 0; i < tries; i++) {
            try {
                journal.flushBatch();
                journal.repair();
                mended();
                return true;
            } catch (IOException e) {
                cause = e;
            }
        }
        failedSince(begunNanos);
        Log.error("journal.turn_unwritten", "cause", cause);
        check();
        return false;
    }

    /** A record could not be written: it is looked after from now on. */
    void check() {
        if (whole && journal.isStale()) {
            whole = false;
            brokenNanos = System.nanoTime();
            effects.recording(false);
            loop.schedule(this::repair, pauseMs, TimeUnit.MILLISECONDS);
        }
    }

    private void failedSince(long begunNanos) {
        triedNanos = System.nanoTime();
        pauseMs = Math.max(REPAIR_MS, PAUSE_PER_TRY * TimeUnit.NANOSECONDS.toMillis(triedNanos - begunNanos));
    }

    private void repair() {
        if (whole) {
            return;
        }
        long begunNanos = System.nanoTime();
        try {
            journal.repair();
            mended();
        } catch (IOException | RuntimeException e) {
            failedSince(begunNanos);
            Log.error("journal.still_unwritten", "for_ms", brokenMs(), "ends_held", ended.size(), "cause", e);
            loop.schedule(this::repair, pauseMs, TimeUnit.MILLISECONDS);
        }
        release();
    }

    private long brokenMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - brokenNanos);
    }

    private void mended() {
        if (!whole) {
            whole = true;
            pauseMs = REPAIR_MS;
            Log.info("journal.written_again", "after_ms", brokenMs(), "ends_held", ended.size());
            effects.recording(true);
        }
    }

    /** The message has ended: that is told by {@link #release}, as soon as it may be. */
    void end(PendingMessage held) {
        ended.add(held);
    }

    /** Tells the ends that may be told now. */
    void release() {
        for (int left = ended.size(); left > 0; left--) {
            PendingMessage held = ended.remove();
            if (!journal.isStale() || !mayGoOn.test(held) || isDue(held)) {
                effects.tell(held);
            } else {
                ended.add(held);
            }
        }
    }

    private boolean isDue(PendingMessage held) {
        boolean due = effects.wallMs() >= held.deadlineMs + held.reserveMs - TOLD_BEFORE_MS;
        if (due) {
            Log.error("message.end_told_unwritten", "message", held.id);
        }
        return due;
    }

    /** Ends that are not told yet. */
    int waiting() {
        return ended.size();
    }
}

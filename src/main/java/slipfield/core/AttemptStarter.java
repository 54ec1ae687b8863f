package slipfield.core;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import slipfield.journal.Journal;
import slipfield.journal.PendingMessage;
import slipfield.log.Log;
import slipfield.log.LoggedTask;
import slipfield.policy.DeliveryPolicy;
import slipfield.trace.Flow;

/**
 * Starts the attempts that the policy has decided, after the journal has recorded them. An attempt that can't begin at once is
 * recorded as one that waits, so that the process after a restart does not take it for one that may have run; that it begins
 * is recorded before its first byte. All methods are called on the event loop.
 */
final class AttemptStarter {
    /**
     * An attempt that was decided this long before it can be written is checked again after the sockets have been polled, since
     * an unread answer may request a delay. It is well below the 100 ms after the start of a requested delay in which calls are
     * still let through (PROTOCOL).
     */
    private static final double STALE_DECISION_MS = 30;

    /** What the starter needs of the sender. */
    interface Context {
        /** Whether the policy still permits the attempt; see {@link DeliveryPolicy#mayBegin}. */
        boolean isPermitted(PendingMessage message, int attempt);

        /** Writes the collected records; false if that failed. */
        boolean flushJournal();

        /** A record of this message could not be written. */
        void writeFailed(String event, String message, IOException cause);

        /** Not one byte of the attempt was written, and none will be. */
        void notStarted(PendingMessage message, int attempt);
    }

    private final EventLoop loop;
    private final Journal journal;
    private final Transport transport;
    private final Context context;
    /** Attempts that were decided in this iteration. They start after the iteration's answers have been sent. */
    private final List<DecidedAttempt> decided = new ArrayList<>();
    /** Attempts decided in an iteration that took long, which are checked again before they start, by {@link #key}. */
    private final Map<Long, DecidedAttempt> delayed = new LinkedHashMap<>();
    /** Attempts in progress, by {@link #key}. */
    private final Map<Long, Transport.Attempt> running = new HashMap<>();

    /** An attempt that the policy has decided; {@code decidedNanos}: when, by {@link System#nanoTime}. */
    private record DecidedAttempt(PendingMessage message, int number, long endpoint, DeliveryPolicy.AttemptTiming timing,
            long decidedNanos) {
    }

    AttemptStarter(EventLoop loop, Journal journal, Transport transport, Context context) {
        this.loop = loop;
        this.journal = journal;
        this.transport = transport;
        this.context = context;
    }

    /** A map key for an attempt. It is not a record, since linking a record's hash code takes 90 ms of CPU at the first call. */
    private static long key(long message, int attempt) {
        return message << 16 | attempt;
    }

    private static long key(Transport.Attempt attempt) {
        return key(attempt.message().number, attempt.number());
    }

    /** The policy has decided an attempt. It is recorded now, and started by {@link #startDecided}. */
    void decide(PendingMessage message, PendingMessage.Attempt attempt, long endpoint, DeliveryPolicy.AttemptTiming timing,
            long decidedNanos) {
        int number = message.attempts.size();
        try {
            journal.recordAttempt(message, attempt);
        } catch (IOException e) {
            context.writeFailed("journal.attempt_unwritten", message.id, e);
            message.attempts.add(attempt);
            dropUnrecorded(message, number);
            return;
        }
        decided.add(new DecidedAttempt(message, number, endpoint, timing, decidedNanos));
    }

    /** The records of the decided attempts could not be written, so that these are not made. */
    void dropUnrecorded() {
        decided.forEach(d -> dropUnrecorded(d.message, d.number));
        decided.clear();
    }

    /** Drops an attempt that is not in the journal: after a restart it could run twice. */
    private void dropUnrecorded(PendingMessage message, int attempt) {
        Log.warn("attempt.unrecorded", "message", message.id, "attempt", attempt);
        end(message, attempt);
    }

    private void end(PendingMessage message, int attempt) {
        message.attempts.get(attempt).neverRan = true;
        context.notStarted(message, attempt);
    }

    /** Starts the decided attempts, or has them checked again first; {@code ageMs}: the time since they were decided. */
    void startDecided(double ageMs) {
        if (!decided.isEmpty() && ageMs > STALE_DECISION_MS) {
            decided.forEach(d -> delayed.put(key(d.message.number, d.number), d));
            recordWaiting(decided);
            // Scheduled instead of executed, so that the loop polls its sockets in between.
            loop.schedule(LoggedTask.of("sender.calls", this::startDelayed), 0, TimeUnit.MILLISECONDS);
        } else {
            start(decided);
        }
        decided.clear();
    }

    private void startDelayed() {
        List<DecidedAttempt> waited = List.copyOf(delayed.values());
        delayed.clear();
        List<DecidedAttempt> permitted = new ArrayList<>();
        for (DecidedAttempt d : waited) {
            if (context.isPermitted(d.message, d.number)) {
                permitted.add(d);
            } else {
                end(d.message, d.number);
            }
        }
        if (recordBegins(permitted)) {
            start(permitted);
        } else {
            permitted.forEach(d -> end(d.message, d.number));
        }
    }

    private void start(List<DecidedAttempt> attempts) {
        List<DecidedAttempt> waiting = new ArrayList<>();
        for (DecidedAttempt d : attempts) {
            if (!start(d).hasBegun()) {
                waiting.add(d);
            }
        }
        recordWaiting(waiting);
    }

    private Transport.Attempt start(DecidedAttempt d) {
        if (Sender.FLOW_ENABLED) {
            Flow.step("out", d.message.id, d.number, d.message.destination, d.message.attempts.get(d.number).endpoint);
        }
        Transport.Attempt attempt = transport.attempt(d.message, d.number, d.endpoint, d.timing, d.decidedNanos);
        running.put(key(attempt), attempt);
        return attempt;
    }

    private void recordWaiting(List<DecidedAttempt> attempts) {
        if (attempts.isEmpty()) {
            return;
        }
        journal.beginBatch();
        for (DecidedAttempt d : attempts) {
            try {
                journal.recordWaitsToBegin(d.message, d.number);
            } catch (IOException e) {
                context.writeFailed("journal.wait_unwritten", d.message.id, e);
            }
        }
        context.flushJournal();
    }

    /** Records in one write that these attempts, which have waited, begin. Returns whether they may. */
    private boolean recordBegins(List<DecidedAttempt> attempts) {
        if (attempts.isEmpty()) {
            return true;
        }
        journal.beginBatch();
        boolean recorded = true;
        for (DecidedAttempt d : attempts) {
            recorded &= recordBegins(d.message, d.number);
        }
        return context.flushJournal() && recorded;
    }

    private boolean recordBegins(PendingMessage message, int attempt) {
        try {
            journal.recordBegins(message, attempt);
            return true;
        } catch (IOException e) {
            context.writeFailed("journal.begin_unwritten", message.id, e);
            return false;
        }
    }

    /** Returns whether an attempt that has waited may begin. If so, the journal has recorded it. */
    boolean mayBegin(Transport.Attempt attempt) {
        return context.isPermitted(attempt.message(), attempt.number())
                && recordBegins(attempt.message(), attempt.number()) && context.flushJournal();
    }

    /** Cancels an attempt that was started or is delayed. Decided ones have to be started before. */
    void cancel(long message, int number) {
        DecidedAttempt waiting = delayed.remove(key(message, number));
        if (waiting != null) {
            end(waiting.message, number);
            return;
        }
        Transport.Attempt attempt = running.get(key(message, number));
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /** An attempt has ended. */
    void ended(Transport.Attempt attempt) {
        running.remove(key(attempt));
    }
}

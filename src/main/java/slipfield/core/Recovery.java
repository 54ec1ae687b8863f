package slipfield.core;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import slipfield.journal.PendingMessage;
import slipfield.log.Log;
import slipfield.log.LoggedTask;
import slipfield.recovery.RecoveryPlan;

/**
 * Restores the messages that an earlier process left in the journal, in the order of a {@link RecoveryPlan}: one batch per
 * event-loop iteration, so that the loop can do other work in between. Final answers need no endpoint list and are sent
 * first. Messages that may still be delivered wait a limited time for an endpoint list from discovery; one whose time runs
 * out meanwhile is ended.
 */
final class Recovery {
    /** How long to wait for discovery before the endpoint list of the configuration is used. */
    private static final long FRESH_LIST_MS = 250;
    /** How often expired messages are searched for while there is no endpoint list at all. */
    private static final long EXPIRY_CHECK_MS = 100;

    /** Handles each restored message, and the end of each stage. */
    interface Steps {
        /** The message ended in an earlier process: its answer has to be sent. */
        void sendAnswer(PendingMessage message);

        /** Returns a message to the policy; {@code leftMs} is 0 or less if its time is up. */
        void resume(PendingMessage message, long leftMs);

        /** All answers that were due at the start have been sent. */
        void answersSent();

        /** All messages are restored; {@code resumed} of them may still be delivered. */
        void done(int resumed);
    }

    private final EventLoop loop;
    private final LongSupplier wallMs;
    private final Predicate<PendingMessage> inOrder;
    private final Steps steps;
    /** Messages that are not restored yet, by number. */
    private final Map<Long, PendingMessage> left = new HashMap<>();
    private final List<PendingMessage> all;
    private RecoveryPlan plan;
    /** Whether there is an endpoint list that may be used; if no message is left to send, any list will do. */
    private boolean listUsable;
    private boolean answersSent;
    private boolean waitingForList;
    private int resumed;
    private int batches;

    Recovery(EventLoop loop, LongSupplier wallMs, List<PendingMessage> messages, Predicate<PendingMessage> inOrder, Steps steps) {
        this.loop = loop;
        this.wallMs = wallMs;
        this.inOrder = inOrder;
        this.steps = steps;
        this.all = messages;
        for (PendingMessage h : messages) {
            left.put(h.number, h);
        }
    }

    /** Starts the recovery, with the first batch in this iteration. */
    void start() {
        plan();
        step();
    }

    /** An endpoint list is available; {@code fresh}: it comes from discovery itself. */
    void listAvailable(boolean fresh) {
        if (fresh || left.isEmpty()) {
            useList();
        } else {
            loop.schedule(LoggedTask.of("recovery.listed", this::useList), FRESH_LIST_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The number of batches so far. */
    int batches() {
        return batches;
    }

    private void useList() {
        if (!listUsable) {
            listUsable = true;
            if (waitingForList) {
                step();
            }
        }
    }

    private void plan() {
        long now = wallMs.getAsLong();
        List<RecoveryPlan.Item> items = new ArrayList<>();
        for (PendingMessage message : all) {
            if (left.containsKey(message.number)) {
                items.add(new RecoveryPlan.Item(message.number, leftMs(message, now), message.finished, inOrder.test(message)));
            }
        }
        plan = new RecoveryPlan(items);
    }

    private static long leftMs(PendingMessage message, long now) {
        return RecoveryPlan.remainingMs(message.deadlineMs - now, message.reserveMs,
                !message.mayHaveRun());
    }

    private void step() {
        waitingForList = false;
        if (plan.hasAnswersLeft()) {
            restore(plan.next());
        } else if (!answersSent) {
            answersSent = true;
            steps.answersSent();
            scheduleStep(0);
        } else if (!listUsable) {
            waitingForList = true;
            loop.schedule(LoggedTask.of("recovery.look", this::checkExpiry), EXPIRY_CHECK_MS, TimeUnit.MILLISECONDS);
        } else if (plan.remainingBatches() > 0) {
            restore(plan.next());
        } else {
            steps.done(resumed);
        }
    }

    private void scheduleStep(long delayMs) {
        // Scheduled instead of executed, so that the loop polls its sockets in between.
        loop.schedule(LoggedTask.of("recovery.step", this::step), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Plans again while there is no endpoint list, to end the messages whose time has run out. */
    private void checkExpiry() {
        if (waitingForList) {
            plan();
            step();
        }
    }

    private void restore(RecoveryPlan.Batch batch) {
        batches++;
        long now = wallMs.getAsLong();
        for (long number : batch.numbers()) {
            PendingMessage message = left.remove(number);
            try {
                restore(message, batch.action(), now);
            } catch (RuntimeException e) {
                // The other messages must be restored all the same; the journal still holds this one.
                Log.error("recovery.message_fault", "message", message.id, "cause", e);
            }
        }
        scheduleStep(0);
    }

    private void restore(PendingMessage message, RecoveryPlan.Action action, long now) {
        if (action == RecoveryPlan.Action.REPORT) {
            steps.sendAnswer(message);
        } else {
            resumed += action == RecoveryPlan.Action.RESUME ? 1 : 0;
            steps.resume(message, leftMs(message, now));
        }
    }
}

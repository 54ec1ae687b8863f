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
 * Takes up what an earlier life held, by its {@link RecoveryPlan}: a slice in a turn, and the loop free between two.
 * Ends need no list and go out before anything else. What may still be delivered waits for the list that
 * discovery has, but not for long; if its time is up meanwhile it is ended.
 */
final class Recovery {
    /** How long the list that the configuration knew must do without discovery's word before it is used. */
    private static final long FRESH_MS = 250;
    /** While there is no list at all, what is due is looked for so often. */
    private static final long LOOK_MS = 100;

    /** What the sender does with each message, and when a stage is over. */
    interface Steps {
        /** Its end was decided in an earlier life: the platform has to hear it. */
        void tell(PendingMessage held);

        /** Back to the module; {@code leftMs} is 0 or less where its time is up. */
        void resume(PendingMessage held, long leftMs);

        /** Every end that was due at the start is out. */
        void endsOut();

        /** Everything is back; so many messages may still be delivered. */
        void done(int resumed);
    }

    private final EventLoop loop;
    private final LongSupplier wallMs;
    private final Predicate<PendingMessage> inOrder;
    private final Steps steps;
    private final Map<Long, PendingMessage> left = new HashMap<>();
    private final List<PendingMessage> taken;
    private RecoveryPlan plan;
    /** A list is known that may be acted on; any will do where nothing waits to be sent. */
    private boolean listed;
    private boolean toldEnds;
    private boolean waiting;
    private int resumed;
    private int turns;

    Recovery(EventLoop loop, LongSupplier wallMs, List<PendingMessage> held, Predicate<PendingMessage> inOrder, Steps steps) {
        this.loop = loop;
        this.wallMs = wallMs;
        this.inOrder = inOrder;
        this.steps = steps;
        this.taken = held;
        for (PendingMessage h : held) {
            left.put(h.number, h);
        }
    }

    /** Begins, with the first slice in this turn. */
    void start() {
        plan();
        step();
    }

    /** A list is known; {@code fresh}: from discovery itself. */
    void listKnown(boolean fresh) {
        if (fresh || left.isEmpty()) {
            listed();
        } else {
            loop.schedule(LoggedTask.of("recovery.listed", this::listed), FRESH_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Turns that slices have taken so far. */
    int turns() {
        return turns;
    }

    private void listed() {
        if (!listed) {
            listed = true;
            if (waiting) {
                step();
            }
        }
    }

    private void plan() {
        long now = wallMs.getAsLong();
        List<RecoveryPlan.Item> items = new ArrayList<>();
        for (PendingMessage held : taken) {
            if (left.containsKey(held.number)) {
                items.add(new RecoveryPlan.Item(held.number, leftMs(held, now), held.finished, inOrder.test(held)));
            }
        }
        plan = new RecoveryPlan(items);
    }

    private static long leftMs(PendingMessage held, long now) {
        return RecoveryPlan.remainingMs(held.deadlineMs - now, held.reserveMs, held.attempts.stream().allMatch(a -> a.neverRan));
    }

    private void step() {
        waiting = false;
        if (plan.hasAnswersLeft()) {
            takeUp(plan.next());
        } else if (!toldEnds) {
            toldEnds = true;
            steps.endsOut();
            again(0);
        } else if (!listed) {
            waiting = true;
            loop.schedule(LoggedTask.of("recovery.look", this::look), LOOK_MS, TimeUnit.MILLISECONDS);
        } else if (plan.remainingBatches() > 0) {
            takeUp(plan.next());
        } else {
            steps.done(resumed);
        }
    }

    private void again(long delayMs) {
        // By the clock, not at once: the sockets are looked at in between.
        loop.schedule(LoggedTask.of("recovery.step", this::step), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Still no list: what has run out of time meanwhile is ended without one. */
    private void look() {
        if (waiting) {
            plan();
            step();
        }
    }

    private void takeUp(RecoveryPlan.Batch batch) {
        turns++;
        long now = wallMs.getAsLong();
        for (long number : batch.numbers()) {
            PendingMessage held = left.remove(number);
            try {
                takeUp(held, batch.action(), now);
            } catch (RuntimeException e) {
                // The others have to be ended all the same; the journal still holds this one.
                Log.error("recovery.message_fault", "message", held.id, "cause", e);
            }
        }
        again(0);
    }

    private void takeUp(PendingMessage held, RecoveryPlan.Action action, long now) {
        if (action == RecoveryPlan.Action.REPORT) {
            steps.tell(held);
        } else {
            resumed += action == RecoveryPlan.Action.RESUME ? 1 : 0;
            steps.resume(held, leftMs(held, now));
        }
    }
}

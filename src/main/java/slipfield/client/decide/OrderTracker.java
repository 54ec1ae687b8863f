package slipfield.client.decide;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Tracks every order of a client from its submission to its single final answer. Callers report events with the current
 * time; decisions are returned as calls of {@link Actions}, made before the method returns and in order. Each order has at
 * most one submission in flight. Times are in ms of a monotonic clock; a time earlier than the last one is taken as the
 * last one.
 */
public final class OrderTracker {
    /** What a submission says about the earlier ones of the same order (PROTOCOL, X-Again). */
    public enum PreviousSubmission {
        /** It is the first, or no earlier one reached a sender. */
        NONE,
        /** The last one that reached a sender was refused. */
        REFUSED,
        /** The last one that reached a sender got no answer: it may have been accepted. */
        UNANSWERED
    }

    /** The actions that the tracker decides on. An implementation must not call the tracker before it returns. */
    public interface Actions {
        /** Submits the order over an idle connection to this sender; {@code budgetMs}: how long it may still run. */
        void send(long order, int attempt, String sender, long budgetMs, PreviousSubmission previous);

        /** Stops waiting for the answer to this submission, and closes its connection. */
        void abandon(long order, int attempt);

        /** Opens one more connection to this sender; {@code probe}: and asks on it whether the sender is ready. */
        void connect(String sender, boolean probe);

        /** Reports the order's final answer; called once per order. */
        void complete(long order, End end);
    }

    private static final int MAX_DOUBLINGS = 10;

    private final Rules rules;
    private final RandomGenerator random;
    private final Actions actions;
    private final Map<Long, TrackedOrder> orders = new HashMap<>();
    private final SenderPool pool;
    /** Orders that may be submitted now, earliest deadline first. */
    private final TreeSet<TrackedOrder> ready = new TreeSet<>(TrackedOrder.BY_DEADLINE);
    /** Orders that may be submitted later, by when. */
    private final TreeSet<TrackedOrder> delayed = new TreeSet<>(TrackedOrder.BY_NOT_BEFORE);
    /** All orders without a final answer, by when they get one at the latest. */
    private final TreeSet<TrackedOrder> open = new TreeSet<>(TrackedOrder.BY_LATEST_END);
    /** Orders with a submission in flight, by when its answer is no longer awaited. */
    private final TreeSet<TrackedOrder> inFlight = new TreeSet<>(TrackedOrder.BY_REPLY_DEADLINE);
    private final RetryAfterTimes<String> destinationDelays = new RetryAfterTimes<>();
    private final RetryAfterTimes<String> tenantDelays = new RetryAfterTimes<>();
    private final RetryBudget retryBudget;
    private final ConcurrencyLimit limit;
    private long now;
    private boolean processing;
    private boolean closed;

    /** The state of one order. */
    private static final class TrackedOrder {
        static final Comparator<TrackedOrder> BY_DEADLINE = Comparator.<TrackedOrder>comparingLong(o -> o.deadlineMs)
                .thenComparingLong(o -> o.number);
        static final Comparator<TrackedOrder> BY_LATEST_END = Comparator.<TrackedOrder>comparingLong(o -> o.latestEndMs)
                .thenComparingLong(o -> o.number);
        static final Comparator<TrackedOrder> BY_NOT_BEFORE = Comparator.<TrackedOrder>comparingLong(o -> o.notBeforeMs)
                .thenComparingLong(o -> o.number);
        static final Comparator<TrackedOrder> BY_REPLY_DEADLINE = Comparator.<TrackedOrder>comparingLong(o -> o.replyDeadlineMs)
                .thenComparingLong(o -> o.number);

        final long number;
        final ClassRule rule;
        final String destination;
        final String tenant;
        final long deadlineMs;
        /** When it gets its final answer at the latest: its deadline, or later once a sender has accepted it. */
        long latestEndMs;
        long notBeforeMs;
        long replyDeadlineMs;
        int attempts;
        /** Consecutive submissions that failed, for the length of the next pause. */
        int failedInRow;
        /** Time of the first submission that a sender may have accepted; negative: the order can't have run. */
        long mayHaveRunSinceMs = -1;
        /** {@link #mayHaveRunSinceMs} before the last submission, restored if that one turns out not to be accepted. */
        long mayHaveRunBeforeSendMs = -1;
        long sentMs;
        Sender sender;
        PreviousSubmission previous = PreviousSubmission.NONE;
        boolean accepted;
        boolean cancelled;
        /** The final answer was reported while its last submission still awaits its reply. */
        boolean answered;
        String lastReason = "";

        TrackedOrder(long number, ClassRule rule, String destination, String tenant, long deadlineMs) {
            this.number = number;
            this.rule = rule;
            this.destination = destination;
            this.tenant = tenant;
            this.deadlineMs = deadlineMs;
            this.latestEndMs = deadlineMs;
        }
    }

    /** A tracker that starts at this time without senders. */
    public OrderTracker(Rules rules, RandomGenerator random, long nowMs, Actions actions) {
        this.rules = rules;
        this.random = random;
        this.actions = actions;
        this.pool = new SenderPool(rules, random, actions::connect);
        this.now = nowMs;
        this.retryBudget = new RetryBudget(rules.retryShare(), rules.retryBurst(), nowMs);
        this.limit = new ConcurrencyLimit(rules.leastInFlight(), rules.mostInFlight(), nowMs);
    }

    private void advanceTo(long nowMs) {
        now = Math.max(now, nowMs);
    }

    // ---- events ----

    /**
     * The complete list of senders. One that is missing from it gets no new orders. An empty list means that the senders
     * are not known, and the last list stays in force.
     */
    public void updateSenders(long nowMs, Collection<String> names) {
        advanceTo(nowMs);
        if (names.isEmpty()) {
            return;
        }
        pool.updateList(now, names);
        process();
    }

    /**
     * Adds an order, or refuses it at once if too many are waiting.
     *
     * @param number the caller's number for the order, never used twice
     * @param withinMs the order's time limit, in ms from now
     */
    public void submit(long nowMs, long number, ClassRule rule, String destination, String tenant, long withinMs) {
        advanceTo(nowMs);
        TrackedOrder order = new TrackedOrder(number, rule, destination, tenant, now + withinMs);
        orders.put(number, order);
        open.add(order);
        if (closed) {
            end(order, new End.Failed(false, "the client is closed"));
        } else if (ready.size() + delayed.size() >= rules.mostQueued()) {
            end(order, new End.Refused(0, "the client's queue is full: " + rules.mostQueued() + " orders wait"));
        } else {
            ready.add(order);
            process();
        }
    }

    /**
     * Cancels an order that no sender is known to have accepted. Returns false if it is too late; true if the order has ended,
     * or will end unless the submission in flight is accepted.
     */
    public boolean cancel(long nowMs, long number) {
        advanceTo(nowMs);
        TrackedOrder order = orders.get(number);
        if (order == null || order.accepted || order.answered) {
            return false;
        }
        order.cancelled = true;
        if (order.sender == null) {
            end(order, order.mayHaveRunSinceMs < 0 ? new End.Failed(false, "cancelled")
                    : new End.Unknown(false, "cancelled; " + order.lastReason));
        }
        process();
        return true;
    }

    /** A connection to this sender was opened; if it was a probe, the sender also reported that it is ready. */
    public void onConnected(long nowMs, String name) {
        advanceTo(nowMs);
        pool.find(name).ifPresent(s -> pool.onConnected(now, s));
        process();
    }

    /** A connection could not be opened, or was closed because the sender reported that it is not ready. */
    public void onConnectFailed(long nowMs, String name) {
        advanceTo(nowMs);
        pool.find(name).ifPresent(s -> pool.onConnectFailed(now, s));
        process();
    }

    /** A connection without a submission in flight was closed; {@code inOrder}: the sender had announced it. */
    public void onConnectionClosed(long nowMs, String name, boolean inOrder) {
        advanceTo(nowMs);
        pool.find(name).ifPresent(s -> {
            s.idle = Math.max(0, s.idle - 1);
            if (inOrder) {
                pool.onDrain(now, s);
            }
            pool.onConnectionLost(now, s);
        });
        process();
    }

    /** The client closed an idle connection before the sender would have; the sender's state does not change. */
    public void onConnectionRetired(long nowMs, String name) {
        advanceTo(nowMs);
        pool.find(name).ifPresent(s -> s.idle = Math.max(0, s.idle - 1));
    }

    /** A sender reported the window, in ms, over which its clients shall reconnect; a negative one is ignored. */
    public void onReconnectWindow(long nowMs, String name, long windowMs) {
        advanceTo(nowMs);
        if (windowMs >= 0) {
            pool.find(name).ifPresent(s -> s.reportedWindowMs = Math.min(windowMs, rules.mostSpreadMs()));
        }
    }

    /**
     * The reply to a submission. A reply that is no longer awaited is ignored.
     *
     * @param stays whether the connection can be used again
     * @param inOrder if it can't: whether the sender announced that it closes it
     */
    public void onReply(long nowMs, long number, int attempt, SubmissionReply reply, boolean stays, boolean inOrder) {
        advanceTo(nowMs);
        TrackedOrder order = orders.get(number);
        if (order == null || order.sender == null || order.attempts != attempt) {
            return;
        }
        Sender sender = order.sender;
        double tookMs = now - order.sentMs;
        int inFlightBefore = inFlight.size();
        clearInFlight(order, stays);
        if (!stays) {
            if (inOrder) {
                pool.onDrain(now, sender);
            }
            pool.onConnectionLost(now, sender);
        }
        handleReply(order, sender, reply, tookMs, inFlightBefore);
        process();
    }

    /**
     * A sender reported the final answer of an accepted submission: delivered, refused or failed. For an earlier submission
     * than the last one only a delivery counts, since the last one may still run.
     */
    public void onFinalAnswer(long nowMs, long number, int attempt, End end) {
        advanceTo(nowMs);
        TrackedOrder order = orders.get(number);
        if (order == null || attempt != order.attempts && !(end instanceof End.Delivered)) {
            return;
        }
        if (end instanceof End.Refused refused && !order.answered) {
            if (order.sender != null) {
                actions.abandon(number, order.attempts);
                Sender sender = order.sender;
                clearInFlight(order, false);
                pool.onConnectionLost(now, sender);
            }
            order.accepted = false;
            setLatestEnd(order, order.deadlineMs);
            order.mayHaveRunSinceMs = order.mayHaveRunBeforeSendMs;
            order.previous = PreviousSubmission.REFUSED;
            order.lastReason = refused.why();
            ready.remove(order);
            delayed.remove(order);
            submitAgain(order, now + Math.max(refused.comeBackMs(), pauseMs(order)), refused);
        } else if (order.sender != null && !order.answered) {
            // The final answer overtook the reply to the submission; the connection becomes idle when the reply comes.
            order.answered = true;
            open.remove(order);
            actions.complete(number, end);
        } else if (!order.answered) {
            end(order, end);
        }
        process();
    }

    /** Does what is due at this time; to be called at the time that {@link #nextTickMs} returned. */
    public void tick(long nowMs) {
        advanceTo(nowMs);
        process();
    }

    /** Ends all orders that have no final answer; orders submitted afterwards fail at once. */
    public void close(long nowMs) {
        advanceTo(nowMs);
        closed = true;
        for (TrackedOrder order : List.copyOf(open)) {
            if (order.sender != null) {
                actions.abandon(order.number, order.attempts);
            }
            end(order, unansweredEnd(order, "the client is closed"));
        }
    }

    /** When {@link #tick} has something to do if no event comes earlier; {@link Long#MAX_VALUE}: never. */
    public long nextTickMs() {
        long next = Long.MAX_VALUE;
        if (closed) {
            return next;
        }
        if (!open.isEmpty()) {
            next = Math.min(next, open.first().latestEndMs);
        }
        if (!inFlight.isEmpty()) {
            next = Math.min(next, inFlight.first().replyDeadlineMs);
        }
        if (!delayed.isEmpty()) {
            next = Math.min(next, delayed.first().notBeforeMs);
        }
        return Math.min(next, pool.nextTickMs(now, !ready.isEmpty()));
    }

    // ---- decisions ----

    private void process() {
        if (processing || closed) {
            return;
        }
        processing = true;
        try {
            expire();
            pool.openDueConnections(now);
            while (!delayed.isEmpty() && delayed.first().notBeforeMs <= now) {
                ready.add(delayed.pollFirst());
            }
            submitReady();
        } finally {
            processing = false;
        }
    }

    private void expire() {
        while (!inFlight.isEmpty() && inFlight.first().replyDeadlineMs <= now) {
            TrackedOrder order = inFlight.first();
            Sender sender = order.sender;
            actions.abandon(order.number, order.attempts);
            int inFlightBefore = inFlight.size();
            clearInFlight(order, false);
            pool.onConnectionLost(now, sender);
            handleReply(order, sender,
                    SubmissionReply.lost("no answer from " + sender.name + " in " + (now - order.sentMs) + " ms"),
                    now - order.sentMs, inFlightBefore);
        }
        while (!open.isEmpty() && open.first().latestEndMs <= now) {
            TrackedOrder order = open.first();
            if (order.sender != null) {
                actions.abandon(order.number, order.attempts);
                Sender sender = order.sender;
                clearInFlight(order, false);
                pool.onConnectionLost(now, sender);
                order.mayHaveRunBeforeSendMs = order.mayHaveRunSinceMs;
            }
            end(order, unansweredEnd(order, order.lastReason.isEmpty() ? "the order's time limit has passed"
                    : "the order's time limit has passed; " + order.lastReason));
        }
    }

    /** The final answer of an order that got none from a sender: unknown if it may have run, otherwise failed. */
    private static End unansweredEnd(TrackedOrder order, String why) {
        return order.accepted ? new End.Unknown(true, why + "; a sender has accepted it")
                : order.mayHaveRunSinceMs >= 0 ? new End.Unknown(false, why) : new End.Failed(false, why);
    }

    private void submitReady() {
        List<TrackedOrder> overBudget = new ArrayList<>();
        while (!ready.isEmpty() && inFlight.size() < limit.limit()) {
            TrackedOrder order = ready.first();
            long delayedUntilMs = Math.max(destinationDelays.untilMs(order.destination), tenantDelays.untilMs(order.tenant));
            if (delayedUntilMs > now) {
                ready.remove(order);
                schedule(order, delayedUntilMs,
                        new End.Refused(delayedUntilMs - now, "a delay was requested; " + order.lastReason));
                continue;
            }
            long latestRunMs = ResubmissionDeadline.latestRunMs(order.rule, rules, now, order.deadlineMs,
                    order.mayHaveRunSinceMs);
            if (latestRunMs == ResubmissionDeadline.NEVER) {
                ready.remove(order);
                end(order, unansweredEnd(order, "too late to submit it again; " + order.lastReason));
                continue;
            }
            Sender sender = pool.select(now, ready.size());
            if (sender == null) {
                break;
            }
            if (order.attempts > 0 && !retryBudget.tryTake(now)) {
                ready.remove(order);
                order.notBeforeMs = retryBudget.nextTokenMs(now);
                overBudget.add(order);
                continue;
            }
            ready.remove(order);
            submitTo(order, sender, latestRunMs);
        }
        delayed.addAll(overBudget);
        if (!ready.isEmpty()) {
            endOrdersThatCannotWait();
        }
    }

    private void submitTo(TrackedOrder order, Sender sender, long latestRunMs) {
        if (order.attempts == 0) {
            retryBudget.onFirstSubmission();
        }
        order.attempts++;
        order.sender = sender;
        order.sentMs = now;
        order.mayHaveRunBeforeSendMs = order.mayHaveRunSinceMs;
        order.mayHaveRunSinceMs = order.mayHaveRunSinceMs >= 0 ? order.mayHaveRunSinceMs : now;
        order.replyDeadlineMs = Math.min(now + rules.answerMs(), order.latestEndMs);
        inFlight.add(order);
        sender.idle--;
        sender.busy++;
        actions.send(order.number, order.attempts, sender.name, latestRunMs - now, order.previous);
    }

    /** If every sender requested a delay, ends the orders whose deadline passes before the first of these delays ends. */
    private void endOrdersThatCannotWait() {
        Optional<Long> first = pool.allDelayedUntilMs(now);
        if (first.isEmpty()) {
            return;
        }
        long earliestMs = first.get();
        while (!ready.isEmpty() && ready.first().deadlineMs - rules.leastBudgetMs() < earliestMs) {
            TrackedOrder order = ready.pollFirst();
            end(order, order.mayHaveRunSinceMs >= 0
                    ? unansweredEnd(order, "every sender requested a delay; " + order.lastReason)
                    : new End.Refused(earliestMs - now, "every sender requested a delay; " + order.lastReason));
        }
    }

    /** Takes back the order's submission in flight; {@code stays}: its connection can be used again. */
    private void clearInFlight(TrackedOrder order, boolean stays) {
        inFlight.remove(order);
        Sender sender = order.sender;
        order.sender = null;
        sender.busy--;
        if (stays) {
            sender.idle++;
        }
    }

    private void handleReply(TrackedOrder order, Sender sender, SubmissionReply reply, double tookMs, int inFlightBefore) {
        order.lastReason = reply.why();
        if (reply.kind() == SubmissionReply.Kind.REFUSED && reply.retryAfterMs() > 0) {
            recordRequestedDelay(order, sender, reply);
        }
        if (order.answered) {
            orders.remove(order.number);
            return;
        }
        switch (reply.kind()) {
            case ACCEPTED -> {
                SenderPool.onAnswer(sender);
                limit.onAnswer(now, tookMs, inFlightBefore);
                order.failedInRow = 0;
                order.accepted = true;
                if (rules.follows()) {
                    setLatestEnd(order, order.deadlineMs + rules.graceMs());
                } else {
                    end(order, new End.Taken(sender.name));
                }
            }
            case REFUSED -> {
                SenderPool.onAnswer(sender);
                order.mayHaveRunSinceMs = order.mayHaveRunBeforeSendMs;
                order.previous = PreviousSubmission.REFUSED;
                long untilMs = now + reply.retryAfterMs();
                if (reply.scope() == SubmissionReply.Scope.SENDER) {
                    limit.onOverload(now);
                }
                End refused = new End.Refused(reply.retryAfterMs(), reply.why());
                boolean elsewhere = reply.scope() == SubmissionReply.Scope.SENDER && pool.hasOther(now, sender);
                submitAgain(order, elsewhere ? now : reply.retryAfterMs() > 0 ? untilMs : now + pauseMs(order), refused);
            }
            case REJECTED -> {
                SenderPool.onAnswer(sender);
                order.mayHaveRunSinceMs = order.mayHaveRunBeforeSendMs;
                end(order, order.mayHaveRunSinceMs >= 0 ? new End.Unknown(false, reply.why())
                        : new End.Failed(false, reply.why()));
            }
            case UNSENT -> {
                pool.onUnanswered(now, sender);
                order.mayHaveRunSinceMs = order.mayHaveRunBeforeSendMs;
                submitAgain(order, now + pauseMs(order), new End.Failed(false, reply.why()));
            }
            case LOST -> {
                pool.onUnanswered(now, sender);
                limit.onOverload(now);
                order.previous = PreviousSubmission.UNANSWERED;
                submitAgain(order, now + pauseMs(order), new End.Unknown(false, reply.why()));
            }
        }
    }

    private void recordRequestedDelay(TrackedOrder order, Sender sender, SubmissionReply reply) {
        long untilMs = now + reply.retryAfterMs();
        switch (reply.scope()) {
            case SENDER -> pool.onRequestedDelay(now, sender, untilMs);
            case DESTINATION -> destinationDelays.record(now, order.destination, untilMs);
            case TENANT -> tenantDelays.record(now, order.tenant, untilMs);
        }
    }

    /** The pause before the next submission: it doubles each time; half of it is fixed, the other half drawn at random. */
    private long pauseMs(TrackedOrder order) {
        long whole = Math.min(rules.mostPauseMs(), rules.pauseMs() << Math.min(MAX_DOUBLINGS, order.failedInRow));
        order.failedInRow++;
        return whole / 2 + random.nextLong(whole / 2 + 1);
    }

    /** Schedules the order to be submitted again at this time. If it may not be, ends it now with {@code otherwise}. */
    private void submitAgain(TrackedOrder order, long atMs, End otherwise) {
        if (order.cancelled) {
            end(order, order.mayHaveRunSinceMs >= 0 ? new End.Unknown(false, "cancelled; " + order.lastReason)
                    : new End.Failed(false, "cancelled"));
            return;
        }
        schedule(order, atMs, otherwise);
    }

    private void schedule(TrackedOrder order, long atMs, End otherwise) {
        if (ResubmissionDeadline.latestRunMs(order.rule, rules, Math.max(now, atMs), order.deadlineMs,
                order.mayHaveRunSinceMs) == ResubmissionDeadline.NEVER) {
            end(order, order.mayHaveRunSinceMs >= 0 ? unansweredEnd(order, order.lastReason) : otherwise);
        } else if (atMs <= now) {
            ready.add(order);
        } else {
            order.notBeforeMs = atMs;
            delayed.add(order);
        }
    }

    private void setLatestEnd(TrackedOrder order, long latestEndMs) {
        open.remove(order);
        order.latestEndMs = latestEndMs;
        open.add(order);
    }

    private void end(TrackedOrder order, End end) {
        if (orders.remove(order.number) == null) {
            return;
        }
        open.remove(order);
        ready.remove(order);
        delayed.remove(order);
        if (order.sender != null) {
            inFlight.remove(order);
            order.sender.busy--;
            order.sender = null;
        }
        actions.complete(order.number, end);
    }
}

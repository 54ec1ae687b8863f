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
 * Every order of a client from its submission to its one end. It is told what happens, with the time, and answers by
 * {@link Actions}, at once and in order. Each order has at most one hand-in out. Times are in ms of a clock that does not
 * go back; one that does stands still here.
 */
public final class OrderTracker {
    /** What a hand-in says of those before it (PROTOCOL, X-Again). */
    public enum PreviousSubmission {
        /** Nothing: it is the first, or no earlier one reached a sender. */
        NONE,
        /** An earlier one was refused. */
        REFUSED,
        /** A sender had an earlier one and died, or did not answer. */
        UNANSWERED
    }

    /** What is to be done. None of it calls back before it returns. */
    public interface Actions {
        /** Hands the order in over an idle connection to this sender; {@code budgetMs}: how long it may still run. */
        void send(long order, int attempt, String sender, long budgetMs, PreviousSubmission again);

        /** Stops waiting for this hand-in's answer: its connection is closed. */
        void abandon(long order, int attempt);

        /** Opens one more connection to this sender; {@code probe}: asks on it whether the sender is ready, too. */
        void connect(String sender, boolean probe);

        /** The order's one end. */
        void complete(long order, End end);
    }

    private static final int MOST_DOUBLINGS = 10;

    private final Rules rules;
    private final RandomGenerator random;
    private final Actions actions;
    private final Map<Long, Item> orders = new HashMap<>();
    private final SenderPool fleet;
    /** May be handed in now, the one whose time is over first ahead. */
    private final TreeSet<Item> ready = new TreeSet<>(Item.BY_DEADLINE);
    /** May be handed in later. */
    private final TreeSet<Item> parked = new TreeSet<>(Item.BY_PAUSE);
    /** All that have no end yet, by when they end at the latest. */
    private final TreeSet<Item> live = new TreeSet<>(Item.BY_END);
    /** Hand-ins out, by when their answer is no longer waited for. */
    private final TreeSet<Item> out = new TreeSet<>(Item.BY_ANSWER);
    private final RetryAfterTimes<String> destinationWaits = new RetryAfterTimes<>();
    private final RetryAfterTimes<String> tenantWaits = new RetryAfterTimes<>();
    private final RetryBudget budget;
    private final ConcurrencyLimit level;
    private long now;
    private boolean pumping;
    private boolean closed;

    /** An order. */
    private static final class Item {
        static final Comparator<Item> BY_DEADLINE = Comparator.<Item>comparingLong(i -> i.deadlineMs)
                .thenComparingLong(i -> i.number);
        static final Comparator<Item> BY_END = Comparator.<Item>comparingLong(i -> i.endMs)
                .thenComparingLong(i -> i.number);
        static final Comparator<Item> BY_PAUSE = Comparator.<Item>comparingLong(i -> i.notBeforeMs)
                .thenComparingLong(i -> i.number);
        static final Comparator<Item> BY_ANSWER = Comparator.<Item>comparingLong(i -> i.answerMs)
                .thenComparingLong(i -> i.number);

        final long number;
        final ClassRule rule;
        final String destination;
        final String tenant;
        final long deadlineMs;
        /** When it ends at the latest: its deadline, and later where a sender has it. */
        long endMs;
        long notBeforeMs;
        long answerMs;
        int attempts;
        /** Hand-ins in a row that came to nothing. */
        int fruitless;
        /** When the first hand-in was made that may have been taken; negative: none. */
        long firstMs = -1;
        /** The same, of those that are answered for or given up: without the one that is out. */
        long firstBeforeMs = -1;
        long sentMs;
        Sender at;
        PreviousSubmission again = PreviousSubmission.NONE;
        boolean taken;
        boolean cancelled;
        /** Its end is told; its hand-in still waits for an answer that came later than that. */
        boolean over;
        String lastWhy = "";

        Item(long number, ClassRule rule, String destination, String tenant, long deadlineMs) {
            this.number = number;
            this.rule = rule;
            this.destination = destination;
            this.tenant = tenant;
            this.deadlineMs = deadlineMs;
            this.endMs = deadlineMs;
        }
    }

    /** Begins at this time, without senders. */
    public OrderTracker(Rules rules, RandomGenerator random, long nowMs, Actions actions) {
        this.rules = rules;
        this.random = random;
        this.actions = actions;
        this.fleet = new SenderPool(rules, random, actions::connect);
        this.now = nowMs;
        this.budget = new RetryBudget(rules.retryShare(), rules.retryBurst(), nowMs);
        this.level = new ConcurrencyLimit(rules.leastInFlight(), rules.mostInFlight(), nowMs);
    }

    private void at(long nowMs) {
        now = Math.max(now, nowMs);
    }

    // ---- what is told ----

    /** The list of senders; one that left it gets nothing new. An empty list stands for not knowing: the last one stays. */
    public void updateSenders(long nowMs, Collection<String> names) {
        at(nowMs);
        if (names.isEmpty()) {
            return;
        }
        fleet.listed(now, names);
        pump();
    }

    /**
     * An order, under a number of the caller's own that is not used twice.
     *
     * @param withinMs its time, from now
     */
    public void submit(long nowMs, long number, ClassRule rule, String destination, String tenant, long withinMs) {
        at(nowMs);
        Item item = new Item(number, rule, destination, tenant, now + withinMs);
        orders.put(number, item);
        live.add(item);
        if (closed) {
            end(item, new End.Failed(false, "the client is closed"));
        } else if (ready.size() + parked.size() >= rules.mostQueued()) {
            end(item, new End.Refused(0, "the client holds " + rules.mostQueued() + " orders already"));
        } else {
            ready.add(item);
            pump();
        }
    }

    /** Calls an order off, if no sender has it yet; returns whether it is over, or will be unless its hand-in is taken. */
    public boolean cancel(long nowMs, long number) {
        at(nowMs);
        Item item = orders.get(number);
        if (item == null || item.taken || item.over) {
            return false;
        }
        item.cancelled = true;
        if (item.at == null) {
            end(item, item.firstMs < 0 ? new End.Failed(false, "cancelled")
                    : new End.Unknown(false, "cancelled; " + item.lastWhy));
        }
        pump();
        return true;
    }

    /** A connection to this sender stands; of a trial: and it says that it is ready. */
    public void onConnected(long nowMs, String name) {
        at(nowMs);
        fleet.of(name).ifPresent(s -> fleet.connected(now, s));
        pump();
    }

    /** A connection did not come up, or the sender is not ready on it: it is closed. */
    public void onConnectFailed(long nowMs, String name) {
        at(nowMs);
        fleet.of(name).ifPresent(s -> fleet.connectFailed(now, s));
        pump();
    }

    /** A connection was closed that no hand-in was out on; {@code inOrder}: the sender said so before. */
    public void onConnectionClosed(long nowMs, String name, boolean inOrder) {
        at(nowMs);
        fleet.of(name).ifPresent(s -> {
            s.idle = Math.max(0, s.idle - 1);
            if (inOrder) {
                fleet.drains(now, s);
            }
            fleet.lost(now, s);
        });
        pump();
    }

    /** An idle connection was closed from this side, before the sender would: nothing is lost by it. */
    public void onConnectionRetired(long nowMs, String name) {
        at(nowMs);
        fleet.of(name).ifPresent(s -> s.idle = Math.max(0, s.idle - 1));
    }

    /** A sender tells over what time its clients are to connect anew, in ms. */
    public void onReconnectWindow(long nowMs, String name, long windowMs) {
        at(nowMs);
        if (windowMs >= 0) {
            fleet.of(name).ifPresent(s -> s.toldWindowMs = Math.min(windowMs, rules.mostSpreadMs()));
        }
    }

    /**
     * What became of a hand-in. {@code stays}: its connection can be used again; {@code inOrder}: if not, the sender said that
     * it closes. One that is not waited for any more is passed over.
     */
    public void onReply(long nowMs, long number, int attempt, SubmissionReply heard, boolean stays, boolean inOrder) {
        at(nowMs);
        Item item = orders.get(number);
        if (item == null || item.at == null || item.attempts != attempt) {
            return;
        }
        Sender sender = item.at;
        double took = now - item.sentMs;
        int outBefore = out.size();
        unsend(item, stays);
        if (!stays) {
            if (inOrder) {
                fleet.drains(now, sender);
            }
            fleet.lost(now, sender);
        }
        settle(item, sender, heard, took, outBefore);
        pump();
    }

    /**
     * The end of a hand-in that was taken, as the sender tells it; {@code end}: delivered, refused or failed. Of an earlier
     * hand-in than the last only a delivery counts: the last one may run still.
     */
    public void onFinalAnswer(long nowMs, long number, int attempt, End end) {
        at(nowMs);
        Item item = orders.get(number);
        if (item == null || attempt != item.attempts && !(end instanceof End.Delivered)) {
            return;
        }
        if (end instanceof End.Refused refused && !item.over) {
            if (item.at != null) {
                actions.abandon(number, item.attempts);
                Sender sender = item.at;
                unsend(item, false);
                fleet.lost(now, sender);
            }
            item.taken = false;
            move(item, item.deadlineMs);
            item.firstMs = item.firstBeforeMs;
            item.again = PreviousSubmission.REFUSED;
            item.lastWhy = refused.why();
            ready.remove(item);
            parked.remove(item);
            again(item, now + Math.max(refused.comeBackMs(), pause(item)), refused);
        } else if (item.at != null && !item.over) {
            // Its 202 is on its way still: the connection is free when that has come.
            item.over = true;
            live.remove(item);
            actions.complete(number, end);
        } else if (!item.over) {
            end(item, end);
        }
        pump();
    }

    /** The time has come that {@link #nextTickMs} told. */
    public void tick(long nowMs) {
        at(nowMs);
        pump();
    }

    /** Ends all that has no end yet; what is submitted from now on ends at once. */
    public void close(long nowMs) {
        at(nowMs);
        closed = true;
        for (Item item : List.copyOf(live)) {
            if (item.at != null) {
                actions.abandon(item.number, item.attempts);
            }
            end(item, over(item, "the client is closed"));
        }
    }

    /** When {@link #tick} has something to do, if nothing is told before; never: {@link Long#MAX_VALUE}. */
    public long nextTickMs() {
        long next = Long.MAX_VALUE;
        if (closed) {
            return next;
        }
        if (!live.isEmpty()) {
            next = Math.min(next, live.first().endMs);
        }
        if (!out.isEmpty()) {
            next = Math.min(next, out.first().answerMs);
        }
        if (!parked.isEmpty()) {
            next = Math.min(next, parked.first().notBeforeMs);
        }
        return Math.min(next, fleet.nextMs(now, !ready.isEmpty()));
    }

    // ---- what it decides ----

    private void pump() {
        if (pumping || closed) {
            return;
        }
        pumping = true;
        try {
            expire();
            fleet.connect(now);
            while (!parked.isEmpty() && parked.first().notBeforeMs <= now) {
                ready.add(parked.pollFirst());
            }
            handIn();
        } finally {
            pumping = false;
        }
    }

    private void expire() {
        while (!out.isEmpty() && out.first().answerMs <= now) {
            Item item = out.first();
            Sender sender = item.at;
            actions.abandon(item.number, item.attempts);
            int outBefore = out.size();
            unsend(item, false);
            fleet.lost(now, sender);
            settle(item, sender, SubmissionReply.lost("no answer from " + sender.name + " in " + (now - item.sentMs) + " ms"),
                    now - item.sentMs, outBefore);
        }
        while (!live.isEmpty() && live.first().endMs <= now) {
            Item item = live.first();
            if (item.at != null) {
                actions.abandon(item.number, item.attempts);
                Sender sender = item.at;
                unsend(item, false);
                fleet.lost(now, sender);
                item.firstBeforeMs = item.firstMs;
            }
            end(item, over(item, item.lastWhy.isEmpty() ? "its time is over" : "its time is over; " + item.lastWhy));
        }
    }

    /** Its end, where nobody tells one. */
    private static End over(Item item, String why) {
        return item.taken ? new End.Unknown(true, why + "; a sender has it")
                : item.firstMs >= 0 ? new End.Unknown(false, why) : new End.Failed(false, why);
    }

    private void handIn() {
        List<Item> later = new ArrayList<>();
        while (!ready.isEmpty() && out.size() < level.level()) {
            Item item = ready.first();
            long waitMs = Math.max(destinationWaits.until(item.destination), tenantWaits.until(item.tenant));
            if (waitMs > now) {
                ready.remove(item);
                park(item, waitMs, new End.Refused(waitMs - now, "told to wait; " + item.lastWhy));
                continue;
            }
            long until = ResubmissionDeadline.until(item.rule, rules, now, item.deadlineMs, item.firstMs);
            if (until == ResubmissionDeadline.NEVER) {
                ready.remove(item);
                end(item, over(item, "too late to hand it in again; " + item.lastWhy));
                continue;
            }
            Sender sender = fleet.pick(now, ready.size());
            if (sender == null) {
                break;
            }
            if (item.attempts > 0 && !budget.take(now)) {
                ready.remove(item);
                item.notBeforeMs = budget.nextMs(now);
                later.add(item);
                continue;
            }
            ready.remove(item);
            send(item, sender, until);
        }
        parked.addAll(later);
        if (!ready.isEmpty()) {
            turnAwayThoseWhoCannotWait();
        }
    }

    private void send(Item item, Sender sender, long until) {
        if (item.attempts == 0) {
            budget.first();
        }
        item.attempts++;
        item.at = sender;
        item.sentMs = now;
        item.firstBeforeMs = item.firstMs;
        item.firstMs = item.firstMs >= 0 ? item.firstMs : now;
        item.answerMs = Math.min(now + rules.answerMs(), item.endMs);
        out.add(item);
        sender.idle--;
        sender.busy++;
        actions.send(item.number, item.attempts, sender.name, until - now, item.again);
    }

    /** Where every sender has told a wait, an order whose time is over before the first of them ends at once. */
    private void turnAwayThoseWhoCannotWait() {
        Optional<Long> first = fleet.opensMs(now);
        if (first.isEmpty()) {
            return;
        }
        long opens = first.get();
        while (!ready.isEmpty() && ready.first().deadlineMs - rules.leastBudgetMs() < opens) {
            Item item = ready.pollFirst();
            end(item, item.firstMs >= 0 ? over(item, "every sender told to wait; " + item.lastWhy)
                    : new End.Refused(opens - now, "every sender told to wait; " + item.lastWhy));
        }
    }

    /** The hand-in is out no more. */
    private void unsend(Item item, boolean stays) {
        out.remove(item);
        Sender sender = item.at;
        item.at = null;
        sender.busy--;
        if (stays) {
            sender.idle++;
        }
    }

    private void settle(Item item, Sender sender, SubmissionReply heard, double took, int outBefore) {
        item.lastWhy = heard.why();
        if (heard.kind() == SubmissionReply.Kind.REFUSED && heard.retryAfterMs() > 0) {
            toldToWait(item, sender, heard);
        }
        if (item.over) {
            orders.remove(item.number);
            return;
        }
        switch (heard.kind()) {
            case ACCEPTED -> {
                SenderPool.answered(sender);
                level.answered(now, took, outBefore);
                item.fruitless = 0;
                item.taken = true;
                if (rules.follows()) {
                    move(item, item.deadlineMs + rules.graceMs());
                } else {
                    end(item, new End.Taken(sender.name));
                }
            }
            case REFUSED -> {
                SenderPool.answered(sender);
                item.firstMs = item.firstBeforeMs;
                item.again = PreviousSubmission.REFUSED;
                long until = now + heard.retryAfterMs();
                if (heard.scope() == SubmissionReply.Scope.SENDER) {
                    level.pushedBack(now);
                }
                End refused = new End.Refused(heard.retryAfterMs(), heard.why());
                boolean elsewhere = heard.scope() == SubmissionReply.Scope.SENDER && fleet.otherThan(now, sender);
                again(item, elsewhere ? now : heard.retryAfterMs() > 0 ? until : now + pause(item), refused);
            }
            case REJECTED -> {
                SenderPool.answered(sender);
                item.firstMs = item.firstBeforeMs;
                end(item, item.firstMs >= 0 ? new End.Unknown(false, heard.why()) : new End.Failed(false, heard.why()));
            }
            case UNSENT -> {
                fleet.unanswered(now, sender);
                item.firstMs = item.firstBeforeMs;
                again(item, now + pause(item), new End.Failed(false, heard.why()));
            }
            case LOST -> {
                fleet.unanswered(now, sender);
                level.pushedBack(now);
                item.again = PreviousSubmission.UNANSWERED;
                again(item, now + pause(item), new End.Unknown(false, heard.why()));
            }
        }
    }

    private void toldToWait(Item item, Sender sender, SubmissionReply heard) {
        long until = now + heard.retryAfterMs();
        switch (heard.scope()) {
            case SENDER -> fleet.toldToWait(now, sender, until);
            case DESTINATION -> destinationWaits.told(now, item.destination, until);
            case TENANT -> tenantWaits.told(now, item.tenant, until);
        }
    }

    /** Half of a doubled pause, and as much again by chance. */
    private long pause(Item item) {
        long whole = Math.min(rules.mostPauseMs(), rules.pauseMs() << Math.min(MOST_DOUBLINGS, item.fruitless));
        item.fruitless++;
        return whole / 2 + random.nextLong(whole / 2 + 1);
    }

    /** It is handed in again at this time, where it may; else this is its end, now and not later. */
    private void again(Item item, long atMs, End otherwise) {
        if (item.cancelled) {
            end(item, item.firstMs >= 0 ? new End.Unknown(false, "cancelled; " + item.lastWhy)
                    : new End.Failed(false, "cancelled"));
            return;
        }
        park(item, atMs, otherwise);
    }

    private void park(Item item, long atMs, End otherwise) {
        if (ResubmissionDeadline.until(item.rule, rules, Math.max(now, atMs), item.deadlineMs, item.firstMs)
                == ResubmissionDeadline.NEVER) {
            end(item, item.firstMs >= 0 ? over(item, item.lastWhy) : otherwise);
        } else if (atMs <= now) {
            ready.add(item);
        } else {
            item.notBeforeMs = atMs;
            parked.add(item);
        }
    }

    private void move(Item item, long endMs) {
        live.remove(item);
        item.endMs = endMs;
        live.add(item);
    }

    private void end(Item item, End end) {
        if (orders.remove(item.number) == null) {
            return;
        }
        live.remove(item);
        ready.remove(item);
        parked.remove(item);
        if (item.at != null) {
            out.remove(item);
            item.at.busy--;
            item.at = null;
        }
        actions.complete(item.number, end);
    }
}

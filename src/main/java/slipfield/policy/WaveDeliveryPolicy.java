package slipfield.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The decision module. Its interface, with all types, events and actions, is DeliveryPolicy.java.
 *
 * <p>A message waits in the queue until {@link #endIteration}, which ranks what waits and gives each
 * message the
 * best endpoint that {@link #maySend} lets pass; the send starts a wave. At a fixed offset a copy joins if
 * the {@link Throttle} allows. The first delivery wins and the rest are cancelled; when every attempt of
 * the wave has ended retryable the message waits again, for a new wave. {@link #finish} gives every final
 * answer.
 *
 * <p>Parts: {@link Delivery} is a message and its wave; {@link Call} what travels together; {@link Limit} the
 * pace and told wait of a destination, or of a route where routes are separate; {@link Target} an endpoint;
 * {@link EndpointHealth}, {@link OutageDetector} and {@link SlowStart} decide what an outage and a return
 * from one allow; {@link Throttle} bounds copies and new tries; {@link
 * Connections} is the trust in idle connections, {@link KeyOrder} the keys in order, {@link Timers} what is
 * due later. All times are milliseconds, all rates calls a millisecond.
 */
final class WaveDeliveryPolicy implements DeliveryPolicy {
    // The wave.
    /** Share of the aim after which a copy is scheduled (the design's default). */
    private static final double COPY_OFFSET = 0.5;
    /** Copies over the period: this many, and this share of the first sends (the design's default). */
    private static final double COPY_BASE = 1;
    private static final double COPY_SHARE = 0.1;
    private static final double THROTTLE_PERIOD_MS = 10_000;
    /** New waves of refused messages, alike. */
    private static final double RETRY_BASE = 2;
    private static final double RETRY_SHARE = 0.3;
    /** First pause before a new wave and its growth, lest quick errors or many senders burn all attempts. */
    private static final double BACKOFF_MS = 200;
    private static final double BACKOFF_GROWTH = 3;
    /** A keyed repeat stays this far inside its window, for the time that it travels. */
    private static final double WINDOW_MARGIN_MS = 300;

    // Time-outs: the aim and a quarter at least, more where answers are seen to take longer.
    private static final double TIMEOUT_AIMS = 1.25;
    private static final double TIMEOUT_DEVIATIONS = 8;
    /** An unsafe message has one try that may run, which may take this share of its deadline at least. */
    private static final double UNSAFE_PATIENCE = 0.33;
    /** Weight of a new answer time in the running mean and deviation. */
    private static final double LATENCY_WEIGHT = 0.15;
    /** Answer time assumed of an endpoint that has not answered yet. */
    private static final double FIRST_LATENCY_MS = 250;

    /** An endpoint that answers in so long, in the mean, gives its slots back soon. */
    private static final double QUICK_MS = 250;

    /** No call is called off for another's sake before it has been out for so long. */
    private static final double CALL_OFF_LEAST_MS = 200;

    // SendRate.
    /** A pace is cut to this share: at first of the last second's sends. */
    private static final double PACE_CUT = 0.7;
    /** A pace stands for no more than this multiple of what was sent of late: unused, it only grows. */
    private static final double PACE_OVER_SENT = 1.3;
    /** Growth of a pace with each delivery. */
    private static final double PACE_GROWTH = 0.03;
    /** Longest interval of a pace, lest a sender with little traffic keep its message for long. */
    private static final double PACE_PAUSE_MS = 500;
    /** Slowest pace, as a share of the even part of a listed rate, which may be half too high. */
    private static final double LISTED_SHARE = 0.5;
    /** Weight of a newly told rate, which counts as at most so many times more or less than those before. */
    private static final double TOLD_WEIGHT = 0.5;
    private static final double TOLD_STEP = 2;
    /**
     * SendRate where a limit is told: this sender's even part of it, times so much with nothing left of it
     * and so
     * much more with all left. It is the even part itself with half left, as in the mean where all is used.
     */
    private static final double LEFT_NONE = 0.2;
    private static final double LEFT_ALL = 1.6;
    private static final double LEFT_USUAL = 0.5;
    /** What is told to be left swings with each span of time that a limit counts: its mean over so long. */
    private static final double LEFT_MEAN_MS = 2000;
    /**
     * Where calls waited for the pace so long, not before, lest all in a clump do, others may be idle: more
     * for each share left above this, and with each answer, among all senders; half with each refusal.
     */
    private static final double PRESSED_MS = 1500;
    private static final double PRESSED_GAP_MS = 30;
    private static final double LEFT_UNUSED = 0.75;
    private static final double UNUSED_GAIN = 8;
    private static final double OTHERS_GROWTH = 0.1;
    /** A later life is told of a pace when it has changed by this share. */
    private static final double PACE_REMEMBERED = 0.3;
    /** Idle for so long, a destination loses pace and counts (the design's figure). */
    private static final double IDLE_MS = 60_000;

    /** A told wait is kept, and a wake counts as come, within this much: clocks are rounded. */
    private static final double CLOCK_MARGIN_MS = 1;

    // Health.
    private static final double SILENT_DEVIATIONS = 4;
    /** Share of the messages taken for a destination that it is trusted to carry, if it was not seen to. */
    private static final double DEMAND_SHARE = 0.7;

    /** An endpoint that has left the list is forgotten after so long. */
    private static final double GONE_MS = 30_000;

    // Connections.
    /** A connection without use for so long counts as idle. */
    private static final double IDLE_LEAST_MS = 100;
    /** Trust after a loss, as a share of the time that the connection had idled; forgotten after so long. */
    private static final double TRUST_CUT = 0.25;
    private static final double TRUST_MEMORY_MS = 30_000;

    // The queue.
    /** Rank is the worth lost by waiting so much longer: about as long as a queue under pressure takes. */
    private static final double RANK_HORIZON_MS = 1500;
    /** Weight of plain worth in the rank, to settle ties between messages that lose nothing yet. */
    private static final double RANK_WORTH = 0.01;
    /** Rank of what an earlier life took and did not try, less its deadline: the next to end before all. */
    private static final double UNTRIED_RANK = 1e12;
    /** Time worth a fee of one point: about what a message loses in worth when it waits so long. */
    private static final double FEE_MS = 25_000;
    private static final Comparator<Delivery> PRESSING_FIRST =
            Comparator.comparingDouble((Delivery d) -> -d.rank).thenComparingDouble(d -> d.aimAt);
    /** Time before the deadline at which a message that is not out is answered. */
    private static final double ANSWER_MARGIN_MS = 5;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    /** Some calls carry several messages, so that a message can go without a free slot. */
    private final boolean joins;
    private final Map<Long, Target> targets = new LinkedHashMap<>();
    private final Map<Long, Destination> destinations = new LinkedHashMap<>();
    /** What an earlier life knew of endpoints that no list has named in this one. */
    private final Map<Long, Health> recalled = new LinkedHashMap<>();
    private final Map<Long, SendRate> recalledRoutes = new LinkedHashMap<>();
    private final Map<Long, Delivery> deliveries = new LinkedHashMap<>();
    private final Set<Delivery> queue = new LinkedHashSet<>();
    private final Set<Attempt> out = new LinkedHashSet<>();
    private final Deque<Double> firstSends = new ArrayDeque<>();
    private final Throttle copies = new Throttle(COPY_BASE, COPY_SHARE);
    private final Throttle retries = new Throttle(RETRY_BASE, RETRY_SHARE);
    private final Connections connections = new Connections();
    private final SlowStart slowStart;
    private final KeyOrder keys = new KeyOrder();
    private final Timers timers;
    private int slotsUsed;
    private long turn;
    private double closesAt = Double.POSITIVE_INFINITY;
    private boolean recording = true;
    private double clock = Double.NEGATIVE_INFINITY;

    WaveDeliveryPolicy(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.slowStart = new SlowStart(settings.coldStart(), settings.senders());
        this.timers = new Timers(actions::wakeAt, CLOCK_MARGIN_MS);
        this.joins = settings.kinds().stream().anyMatch(kind -> kind.batchSize() > 1);
    }

    // ---- events ----

    @Override
    public void endpointsChanged(double now, boolean whole, List<Endpoint> entries) {
        tick(now);
        if (whole) {
            targets.values().forEach(Target::leave);
        }
        for (Endpoint entry : entries) {
            Destination destination = destination(entry.destination());
            Target target = targets.get(entry.id());
            if (target == null) {
                target = new Target(entry, destination);
                targets.put(entry.id(), target);
                destination.targets.add(target);
                Optional.ofNullable(recalled.remove(entry.id())).ifPresent(target::recall);
                Optional.ofNullable(recalledRoutes.remove(entry.id())).ifPresent(target.limit::recall);
            }
            target.limit.listedRate = settings.ratesListed() ? entry.listedRate() / 1000 : 0;
            if (entry.removed()) {
                target.leave();
            } else {
                target.serving = entry.serving();
                target.goneAt = Double.POSITIVE_INFINITY;
            }
        }
        targets.values().removeIf(t -> t.isForgotten() && t.destination.targets.remove(t));
    }

    @Override
    public void messageAccepted(double now, Message message) {
        tick(now);
        take(message).destination.demand.count(clock);
    }

    /** Demand is not counted: what comes back at once was asked for over a time that nobody knows. */
    @Override
    public void messageRestored(double now, Message message, List<PreviousAttempt> attempts) {
        tick(now);
        Delivery d = take(message);
        for (PreviousAttempt earlier : attempts) {
            d.attempts.add(new Attempt(d, Optional.ofNullable(targets.get(earlier.endpoint())), earlier));
        }
        d.foundUntried = attempts.stream().noneMatch(PreviousAttempt::mayHaveRun);
        keys.resumed(d);
        if (!attempts.isEmpty()) {
            d.suspectOutage();
            giveUpInTime(d);
        }
    }

    @Override
    public void healthRestored(double now, long endpoint, Health health) {
        tick(now);
        Target target = targets.get(endpoint);
        if (target == null) {
            recalled.put(endpoint, health);
        } else {
            target.recall(health);
        }
    }

    @Override
    public void sendRateRestored(double now, long destination, long route, SendRate pace) {
        tick(now);
        if (route == ALL_ROUTES) {
            destination(destination).shared.recall(pace);
        } else {
            recalledRoutes.put(route, pace);
        }
    }

    @Override
    public void shutdownScheduled(double now, double end) {
        tick(now);
        closesAt = end;
    }

    @Override
    public void recordingChanged(double now, boolean possible) {
        tick(now);
        recording = possible;
    }

    private Delivery take(Message message) {
        if (message.messageClass() < 0 || message.messageClass() >= settings.classes().size()) {
            throw new IllegalArgumentException("unknown class " + message.messageClass());
        }
        if (deliveries.containsKey(message.id())) {
            throw new IllegalArgumentException("message " + message.id() + " was already taken");
        }
        Delivery d = new Delivery(message);
        deliveries.put(message.id(), d);
        keys.taken(d);
        queue.add(d);
        d.giveUp = timers.add(d.deadline - ANSWER_MARGIN_MS, () -> finish(d));
        return d;
    }

    @Override
    public void attemptEnded(double now, AttemptEnd end) {
        tick(now);
        Delivery d = deliveries.get(end.message());
        if (d == null || end.attempt() < 0 || end.attempt() >= d.attempts.size()) {
            throw new IllegalArgumentException("unknown attempt " + end.attempt() + " of message "
                    + end.message());
        }
        Attempt attempt = d.attempts.get(end.attempt());
        if (!attempt.out) {
            return;
        }
        attempt.out = false;
        out.remove(attempt);
        attempt.mayHaveRun = end.outcome().mayHaveRun();
        d.refused = end.outcome() == AttemptOutcome.FULL;
        d.foundUntried &= end.outcome() == AttemptOutcome.UNREACHABLE
                || end.outcome() == AttemptOutcome.NOT_SENT;
        d.out--;
        attempt.call.ifPresent(call -> call.itemEnded(end));
        keys.attemptEnded(d, end.outcome());
        if (end.finished()) {
            close(d);
        }
        if (d.ended) {
            forget(d);
        } else if (d.out == 0) {
            nextWave(d);
        }
    }

    @Override
    public boolean mayBegin(double now, long message, int attempt) {
        Delivery d = deliveries.get(message);
        return !d.ended && d.attempts.get(attempt).target.get().limit.waitUntil <= now;
    }

    @Override
    public void messageWithdrawn(double now, long message) {
        tick(now);
        Delivery d = deliveries.get(message);
        if (d != null && !d.ended) {
            close(d);
            forget(d);
        }
    }

    @Override
    public void wake(double now) {
        tick(now);
    }

    @Override
    public void endIteration(double now) {
        tick(now);
        timers.run(now);
        dispatch();
        timers.ask(now, nextOpening());
        turn++;
    }

    private Destination destination(long id) {
        return destinations.computeIfAbsent(id, Destination::new);
    }

    /** Forgets the times that lie further back. */
    private void trim(Deque<Double> times, double periodMs) {
        while (!times.isEmpty() && times.peek() < clock - periodMs) {
            times.remove();
        }
    }

    private void tick(double now) {
        if (now < clock) {
            throw new IllegalArgumentException("the clock went back");
        }
        clock = now;
    }

    // ---- decisions ----

    /**
     * Sends what waits, the most pressing first, as far as gates and slots allow. Every turn looks at all
     * that waits, so it ranks only what its destination's gates and slots let pass: a jam must not take the
     * CPU too.
     */
    private void dispatch() {
        List<Delivery> ranked = new ArrayList<>();
        List<Delivery> lacking = new ArrayList<>();
        for (Delivery d : queue) {
            Destination to = d.destination;
            if (to.seenTurn != turn) {
                to.seenTurn = turn;
                to.openInTurn = to.isOpen();
                to.slotInTurn = joins || to.hasSlot();
            }
            if (to.openInTurn && d.notBefore <= clock) {
                (to.slotInTurn ? ranked : lacking).add(d);
            }
        }
        ranked.forEach(d -> d.rank = d.rank());
        ranked.sort(PRESSING_FIRST);
        for (Delivery d : ranked) {
            if (slotsUsed >= settings.slots() && !joins) {
                break;
            }
            if (d.destination.isOpen()) {
                choose(d, false).ifPresent(target -> send(d, target, false));
            }
        }
        lacking.addAll(ranked);
        if (slotsUsed >= settings.slots() - 1 && lacking.stream().anyMatch(this::lacksSlot)) {
            freeSlot();
        }
    }

    /** Whether nothing but a slot keeps it from being sent. */
    private boolean lacksSlot(Delivery d) {
        return d.out == 0 && d.destination.targets.stream()
                .anyMatch(t -> t.isOpen() && !t.hasSlot() && allows(d, t));
    }

    /**
     * Calls off the call that has been out longest by the measure of its endpoint, if it is out of patience
     * and may be repeated. Guards against calls that get no answer anywhere: a few in a hundred of them hold
     * all slots till their time-outs, and what has run out of time meanwhile can't be repeated any more. An
     * endpoint that is merely slow is given more patience with each call that it has lost in this way.
     */
    private void freeSlot() {
        if (!settings.cancelsRedundant()) {
            return;
        }
        Attempt most = null;
        for (Attempt a : out) {
            boolean mayBe = !a.calledOff && a.delivery.type.repeatSafety() != RepeatSafety.UNSAFE
                    && a.overPatience() > 1;
            if (mayBe && (most == null || a.overPatience() > most.overPatience())) {
                most = a;
            }
        }
        if (most != null) {
            most.calledOff = true;
            most.target.get().calledOff++;
            actions.cancel(most.delivery.message.id(), most.delivery.attempts.indexOf(most));
        }
    }

    /** The endpoint to send to among those that the gate lets pass; a copy goes elsewhere if it can. */
    private Optional<Target> choose(Delivery d, boolean copy) {
        Target best = null;
        boolean elsewhere = copy && d.destination.targets.stream().anyMatch(t -> t.serving && !d.isOutAt(t));
        for (Target target : d.destination.targets) {
            boolean passed = elsewhere && d.isOutAt(target) || copy && target.health.state() == State.DOWN;
            if (!passed && maySend(d, target) && (best == null || target.cost(d) < best.cost(d))) {
                best = target;
            }
        }
        return Optional.ofNullable(best);
    }

    /** The gate that every send passes: first send, copy and new wave. */
    private boolean maySend(Delivery d, Target target) {
        return allows(d, target) && (target.mayJoin()
                || target.hasSlot() && target.isOpen());
    }

    /** The gates that hold for any send of the message there, whether it takes a slot or joins a call. */
    private boolean allows(Delivery d, Target target) {
        return recording && !d.ended && target.serving
                && clock < d.deadline - ANSWER_MARGIN_MS
                && d.attempts.size() < settings.maxAttempts()
                && mayRepeat(d, target)
                && keys.mayGo(d)
                && (!d.refused || d.out > 0 || retries.allows())
                && target.limit.waitUntil <= clock
                && clock + target.expectedEnd(d.type) <= closesAt;
    }

    /** Whether one more attempt there keeps the promise that no effect happens twice. */
    private boolean mayRepeat(Delivery d, Target target) {
        return mayRepeat(d) && !(d.type.repeatSafety() == RepeatSafety.KEYED && d.type.sameZone()
                && d.attempts.stream().anyMatch(a -> (a.out || a.mayHaveRun) && !a.isInZoneOf(target)));
    }

    /** The same wherever the attempt may go, as far as time and effect alone tell. */
    private boolean mayRepeat(Delivery d) {
        return clock <= repeatUntil(d) && d.attempts.stream().noneMatch(a -> a.out && !settings.hedging()
                || (a.out || a.mayHaveRun) && d.type.repeatSafety() == RepeatSafety.UNSAFE);
    }

    /** Until when a repeat has to be under way: a keyed message that may have run has its window. */
    private double repeatUntil(Delivery d) {
        return d.type.repeatSafety() != RepeatSafety.KEYED ? Double.POSITIVE_INFINITY
                : d.attempts.stream().filter(a -> a.out || a.mayHaveRun).mapToDouble(a -> a.sentAt).min()
                .orElse(Double.POSITIVE_INFINITY) + d.type.deduplicationWindowMs() - WINDOW_MARGIN_MS;
    }

    private void send(Delivery d, Target target, boolean copy) {
        double writtenMs = repeatUntil(d) - clock;
        Call call = target.joinOrStart();
        Attempt attempt = new Attempt(d, call);
        d.attempts.add(attempt);
        out.add(attempt);
        d.out++;
        queue.remove(d);
        keys.attemptSent(d);
        if (copy) {
            copies.sent();
        } else if (d.attempts.size() == 1) {
            firstSends.add(clock);
            trim(firstSends, THROTTLE_PERIOD_MS);
        } else if (d.refused) {
            retries.sent();
        }
        double timeout = Math.min(target.timeout(d.type), d.deadline - clock);
        actions.send(d.message.id(), target.entry.id(), new AttemptTiming(timeout, writtenMs));
        double offset = d.type.aimMs() * COPY_OFFSET;
        if (settings.hedging() && !copy) {
            timers.add(clock + offset, () -> offsetPassed(d, attempt));
        }
        timers.add(clock + Math.max(offset, target.patience()), call::overdue);
    }

    /** The scheduled offset after a send: a copy may join the wave. */
    private void offsetPassed(Delivery d, Attempt attempt) {
        boolean races = attempt.out && d.type.repeatSafety() != RepeatSafety.UNSAFE;
        if (races && !d.ended && slotsUsed < settings.slots() && copies.allows()) {
            choose(d, true).ifPresent(target -> send(d, target, true));
        }
    }

    /** Every attempt has ended retryable: wait for a new wave, unless no further attempt can be allowed. */
    private void nextWave(Delivery d) {
        giveUpInTime(d);
        if (d.ended) {
            return;
        }
        double backoff = BACKOFF_MS * Math.pow(BACKOFF_GROWTH, d.waves) * (0.75 + 0.5 * random.nextDouble());
        d.notBefore = clock + Math.min(backoff, (d.deadline - clock) / 2);
        d.waves++;
        queue.add(d);
        timers.add(d.notBefore, () -> { });
    }

    /**
     * Answers at once what no further attempt can be allowed for: now, or when a keyed message's window has
     * passed. Guards against an answer that is held back until the deadline, when it is of no more use.
     */
    private void giveUpInTime(Delivery d) {
        if (!mayGoOn(d)) {
            finish(d);
        } else if (repeatUntil(d) < Double.POSITIVE_INFINITY) {
            timers.add(repeatUntil(d) + CLOCK_MARGIN_MS, () -> {
                if (!mayGoOn(d)) {
                    finish(d);
                }
            });
        }
    }

    /** Whether a further attempt can still be allowed somewhere, be it at an endpoint that is yet to come. */
    private boolean mayGoOn(Delivery d) {
        return d.attempts.size() < settings.maxAttempts() && clock < d.deadline - ANSWER_MARGIN_MS
                && (d.destination.targets.isEmpty() ? mayRepeat(d)
                        : d.destination.targets.stream().anyMatch(t -> mayRepeat(d, t)));
    }

    /**
     * The final answer of what waits undelivered: refused where trying again is harmless, else failed. A
     * refused one comes again to any sender, which counts a window from its own first attempt: had it run
     * before, it would be sent there when the window is over.
     */
    private void finish(Delivery d) {
        if (d.ended || d.out > 0) {
            return;
        }
        if (d.type.repeatSafety() == RepeatSafety.SAFE || d.attempts.stream().noneMatch(a -> a.out
                || a.mayHaveRun)) {
            actions.refuse(d.message.id(), Math.max(0, d.destination.opensAt() - clock));
        } else {
            actions.fail(d.message.id());
        }
        close(d);
        forget(d);
    }

    /** Ends a message and cancels what is redundant. */
    private void close(Delivery d) {
        if (d.ended) {
            return;
        }
        d.ended = true;
        queue.remove(d);
        keys.ended(d);
        for (int i = 0; i < d.attempts.size(); i++) {
            if (d.attempts.get(i).out && settings.cancelsRedundant()) {
                actions.cancel(d.message.id(), i);
            }
        }
    }

    private void forget(Delivery d) {
        if (d.out == 0) {
            deliveries.remove(d.message.id());
            // Else each message would be held in memory till its time, long after its end.
            timers.cancel(d.giveUp);
        }
    }

    /** When the next gate opens by time alone for a message that waits. */
    private double nextOpening() {
        return targets.values().stream().filter(t -> t.destination.seenTurn == turn && t.serving)
                .mapToDouble(Target::gatesOpenAt).filter(at -> at > clock).min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    // ---- parts ----

    /** A message and its wave. */
    private final class Delivery {
        final Message message;
        final MessageClass type;
        final Destination destination;
        final double aimAt;
        final double deadline;
        final List<Attempt> attempts = new ArrayList<>();
        double notBefore = Double.NEGATIVE_INFINITY;
        double rank;
        int waves;
        boolean refused;
        boolean foundUntried;
        int out;
        boolean ended;
        Timers.Timer giveUp;

        Delivery(Message message) {
            this.message = message;
            this.type = settings.classes().get(message.messageClass());
            this.destination = destination(message.destination());
            this.deadline = clock + message.timeLeftMs();
            this.aimAt = deadline - type.deadlineMs() + type.aimMs();
        }

        /** An earlier life tried it in vain: its destination may be out until a call is delivered. */
        void suspectOutage() {
            destination.shared.suspect(Suspicion.NONE);
            attempts.forEach(a -> a.target.ifPresent(t -> t.limit.suspect(t.entry.id())));
        }

        boolean isOutAt(Target target) {
            return attempts.stream().anyMatch(a -> a.out && a.target.filter(t -> t == target).isPresent());
        }

        /** Worth when delivered at that time. */
        double worthAt(double time) {
            if (time > deadline) {
                return 0;
            }
            double late = Math.max(0, time - aimAt);
            double share = settings.decay() == Decay.HALVING
                    ? Math.max(type.lateWorth(), Math.pow(0.5, late / type.aimMs()))
                    : 1 - (1 - type.lateWorth()) * late / (type.deadlineMs() - type.aimMs());
            return type.worth() * share;
        }

        double rank() {
            double worth = worthAt(clock);
            return foundUntried ? UNTRIED_RANK - deadline
                    : worth - worthAt(clock + RANK_HORIZON_MS) + RANK_WORTH * worth;
        }
    }

    /**
     * One attempt of a message; those of an earlier life have no call and hold nothing, and their endpoint
     * may have left the list since.
     */
    private final class Attempt {
        final Delivery delivery;
        final Optional<Call> call;
        final Optional<Target> target;
        final double sentAt;
        boolean out;
        boolean mayHaveRun;
        boolean calledOff;

        Attempt(Delivery delivery, Call call) {
            this.delivery = delivery;
            this.call = Optional.of(call);
            this.target = Optional.of(call.target);
            this.sentAt = call.sentAt;
            this.out = true;
        }

        Attempt(Delivery delivery, Optional<Target> target, PreviousAttempt earlier) {
            this.delivery = delivery;
            this.call = Optional.empty();
            this.target = target;
            this.sentAt = earlier.sentAt();
            this.mayHaveRun = earlier.mayHaveRun();
        }

        /** How long it has been out, by its endpoint's patience, which grows with calls called off before. */
        double overPatience() {
            return target.map(t -> (clock - sentAt)
                    / (Math.max(t.patience(), CALL_OFF_LEAST_MS) * (1 + t.calledOff))).orElse(0.0);
        }

        boolean isInZoneOf(Target other) {
            return target.filter(t -> t.entry.zone() == other.entry.zone()).isPresent();
        }
    }

    /** Messages that travel as one: one slot, one fate. */
    private final class Call {
        final Target target;
        final double sentAt = clock;
        final long sentTurn = turn;
        final double idledMs;
        /** Its endpoint was down: what becomes of it says nothing of others. */
        final boolean trial;
        /** It was sent while its destination was suspected. */
        final boolean probe;
        int items;
        int itemsOut;
        boolean observed;
        boolean late;

        Call(Target target) {
            this.target = target;
            this.idledMs = connections.take(target);
            this.trial = target.health.state() == State.DOWN;
            this.probe = !trial && target.limit.outage.suspects();
            if (probe) {
                target.limit.outage.probeSent();
            }
            target.usedAt = clock;
            slotsUsed++;
            target.calls.add(this);
            target.destination.out++;
        }

        void itemEnded(AttemptEnd end) {
            itemsOut--;
            target.limit.told(end.requestedDelayMs());
            target.limit.says(end);
            if (!observed && end.outcome() != AttemptOutcome.CANCELLED
                    && end.outcome() != AttemptOutcome.NOT_SENT) {
                observed = true;
                target.observe(this, end);
            }
            target.usedAt = clock;
            if (itemsOut == 0) {
                if (probe) {
                    target.limit.outage.probeEnded();
                }
                slotsUsed--;
                target.calls.remove(this);
                target.destination.out--;
            }
        }

        void overdue() {
            if (!late && !observed && itemsOut > 0) {
                late = true;
                target.overdue(this);
            }
        }
    }

    /** A destination: its endpoints and, where they share one, its limit. */
    private final class Destination {
        final long id;
        final List<Target> targets = new ArrayList<>();
        final Limit shared = new Limit(this, ALL_ROUTES);
        final EventRate demand = new EventRate(clock);
        int out;
        /** The last turn in which a message waited for it; whether gates and slots let calls pass then. */
        long seenTurn = -1;
        boolean openInTurn;
        boolean slotInTurn;

        Destination(long id) {
            this.id = id;
        }

        /** Endpoints that share its messages. */
        long serving() {
            return Math.max(1, targets.stream().filter(t -> t.serving).count());
        }

        /** Whether the pace, waits and health of any of its endpoints let a call pass. */
        boolean isOpen() {
            return targets.stream()
                    .anyMatch(t -> t.serving && (t.mayJoin() || t.limit.waitUntil <= clock && t.isOpen()));
        }

        /** Whether a slot is free for a call to any of its endpoints. */
        boolean hasSlot() {
            return targets.stream().anyMatch(t -> t.serving && t.hasSlot());
        }

        /** When it is worth coming back: the first opening, or now where none is known. */
        double opensAt() {
            return targets.stream().filter(t -> t.serving).mapToDouble(Target::gatesOpenAt).min()
                    .orElse(clock);
        }
    }

    /** The pace and told wait of what shares one limit. Guards against refusals and broken waits. */
    private final class Limit {
        final EventRate sends = new EventRate(clock);
        /** Deliveries while in service. */
        final EventRate carried = new EventRate(clock);
        final OutageDetector outage = new OutageDetector();
        final Deque<Double> lastSecond = new ArrayDeque<>();
        final Destination destination;
        final long route;
        double listedRate;
        double toldRate;
        double left = LEFT_USUAL;
        double leftAt = clock;
        double pressedSince = clock;
        double others = 1;
        double rate = Double.POSITIVE_INFINITY;
        double nextAt = Double.NEGATIVE_INFINITY;
        double waitUntil = Double.NEGATIVE_INFINITY;
        double cutAt = Double.NEGATIVE_INFINITY;
        double remembered;

        Limit(Destination destination, long route) {
            this.destination = destination;
            this.route = route;
        }

        /** Goes on where an earlier life ended, lest all that is held be refused once more to find it. */
        void recall(SendRate pace) {
            rate = pace.perMs();
            remembered = rate;
            toldRate = pace.reportedPerMs();
            nextAt = clock + random.nextDouble() / rate;
        }

        private void remember() {
            double known = toldRate > 0 ? evenPart() : rate;
            if (Math.abs(known - remembered) > PACE_REMEMBERED * remembered) {
                remembered = known;
                actions.saveSendRate(destination.id, route, new SendRate(rate, toldRate));
            }
        }

        /** Calls go one at a time from now on, until one is delivered. */
        void suspect(long endpoint) {
            if (!outage.suspects()) {
                outage.suspect(clock);
                actions.suspicionChanged(new Suspicion(destination.id, true, endpoint, Suspicion.NONE,
                        outage.undeliveredCalls()));
            }
        }

        void sent() {
            if (!lastSecond.isEmpty() && lastSecond.peekLast() < clock - IDLE_MS) {
                rate = Double.POSITIVE_INFINITY;
                toldRate = 0;
                remember();
            }
            sends.count(clock);
            lastSecond.add(clock);
            trim(lastSecond, 1000);
            if (rate < Double.POSITIVE_INFINITY) {
                pressedSince = nextAt < clock - PRESSED_GAP_MS ? clock : pressedSince;
                nextAt = Math.max(nextAt, clock) + 1 / rate;
            }
        }

        /** Each message of a call may be told its own wait, in turns of its own. */
        void told(double waitMs) {
            waitUntil = waitMs > 0 ? Math.max(waitUntil, clock + waitMs + CLOCK_MARGIN_MS) : waitUntil;
        }

        /** One answer's figures may be spoilt; a refusal tells that nothing is left, whatever it reports. */
        void says(AttemptEnd end) {
            if (end.limitReport().perSecond() > 0) {
                double said = end.limitReport().perSecond() / 1000;
                toldRate = toldRate == 0 ? said : toldRate + TOLD_WEIGHT
                        * (Math.max(toldRate / TOLD_STEP, Math.min(said, toldRate * TOLD_STEP)) - toldRate);
                double seen = end.outcome() == AttemptOutcome.FULL ? 0
                        : end.limitReport().remainingShareOr(LEFT_USUAL);
                left = seen + (left - seen) * Math.exp((leftAt - clock) / LEFT_MEAN_MS);
                leftAt = clock;
                boolean pressed = clock > pressedSince + PRESSED_MS;
                others = !pressed || end.outcome() == AttemptOutcome.FULL ? Math.max(1, others / 2)
                        : Math.min(settings.senders(), others * (1 + OTHERS_GROWTH / settings.senders()));
                rate = evenPart() * (others * (LEFT_NONE + LEFT_ALL * left)
                        + (pressed ? UNUSED_GAIN * Math.max(0, left - LEFT_UNUSED) : 0));
                nextAt = Math.min(nextAt, clock + 1 / rate);
                remember();
            }
        }

        /**
         * Refusals of calls sent before the last cut are old news. Waits of all senders end at one moment:
         * the pace begins at random after it, lest they all come at once.
         */
        void refused(Call call) {
            if (call.sentAt < cutAt) {
                return;
            }
            if (toldRate == 0) {
                double sent = rate == Double.POSITIVE_INFINITY ? lastSecond.size() / 1000.0
                        : Math.min(rate, PACE_OVER_SENT * sends.perMs());
                rate = Math.max(Math.max(1 / PACE_PAUSE_MS, evenPart()), sent * PACE_CUT);
            }
            cutAt = clock;
            nextAt = Math.max(clock, waitUntil) + (0.5 + random.nextDouble()) / rate;
            remember();
        }

        void delivered() {
            if (toldRate == 0 && rate < Double.POSITIVE_INFINITY) {
                rate *= 1 + PACE_GROWTH;
                remember();
            }
        }

        /** This sender's even part of what the limit is known to take at the least. */
        double evenPart() {
            return (toldRate > 0 ? toldRate : LISTED_SHARE * listedRate) / settings.senders();
        }
    }

    /**
     * An endpoint: its calls, its usual answer times, and when its health lets the next call go. When it is
     * down, single trials replace the backlog; when it answers again, a ramp keeps within what it can take.
     */
    private final class Target {
        final Endpoint entry;
        final Destination destination;
        final Limit limit;
        final int batch;
        final double fee;
        final EndpointHealth health;
        boolean serving;
        Call latest;
        /** Its calls that are out, in the order sent. */
        final Deque<Call> calls = new ArrayDeque<>();
        double latency = FIRST_LATENCY_MS;
        double deviation = FIRST_LATENCY_MS / 2;
        int calledOff;
        /** What it carried before an outage that an earlier life saw. */
        double carriedBefore;
        double nextAt = Double.NEGATIVE_INFINITY;
        double usedAt = Double.NEGATIVE_INFINITY;
        double goneAt = Double.POSITIVE_INFINITY;

        Target(Endpoint entry, Destination destination) {
            Kind kind = settings.kinds().get(Math.min(entry.kind(), settings.kinds().size() - 1));
            this.entry = entry;
            this.destination = destination;
            this.limit = kind.separateRoutes() ? new Limit(destination, entry.id())
                    : destination.shared;
            this.batch = kind.batchSize();
            this.health = new EndpointHealth(clock, settings.coldStart().warmUpMs(), this::healthChanged);
            boolean charged = kind.separateRoutes() && entry.zone() < settings.zoneFees().size();
            this.fee = charged ? settings.zoneFees().get(entry.zone()) : 0;
        }

        void leave() {
            serving = false;
            goneAt = Math.min(goneAt, clock);
        }

        /** A list may leave one out by mistake: what is known of it stands for as long as it can matter. */
        boolean isForgotten() {
            return clock > goneAt + GONE_MS && calls.isEmpty() && limit.waitUntil <= clock;
        }

        /**
         * What sending there costs in time: the usual answer with its calls out, the last fruitless ends and
         * the fee. A trial that is due goes first, lest it stay down for ever; unsafe messages avoid it.
         */
        double cost(Delivery d) {
            if (health.state() == State.DOWN) {
                return (d.type.repeatSafety() == RepeatSafety.UNSAFE ? 1 : -1) * Double.POSITIVE_INFINITY;
            }
            double freeShare = 1 - (double) slotsUsed / settings.slots();
            return latency * (1 + calls.size()) + health.undeliveredCount() * EndpointHealth.SHUT_MS
                    + fee * FEE_MS * freeShare;
        }

        boolean mayJoin() {
            return latest != null && latest.sentTurn == turn && latest.items < batch
                    && health.state() != State.DOWN;
        }

        Call joinOrStart() {
            if (!mayJoin()) {
                latest = new Call(this);
                limit.sent();
                health.endSlowStartIfDue(clock);
                nextAt = health.state() == State.UP ? nextAt : nextCallAt();
            }
            latest.items++;
            latest.itemsOut++;
            return latest;
        }

        /**
         * A destination may hold fewer slots than stay free, lest a slow or silent one holds them all. One
         * that answers quickly gives them back soon, so it may have all but one: else a quarter of them is
         * idle beside its queue. It may hurt where it goes silent, until its first call is out of patience.
         */
        boolean hasSlot() {
            int free = settings.slots() - slotsUsed;
            boolean quick = latency <= QUICK_MS && health.lastGood() > Double.NEGATIVE_INFINITY
                    && (calls.isEmpty() || clock - calls.peek().sentAt <= patience());
            return quick && free > 1 || free > 0 && destination.out < Math.max(1, free - 1);
        }

        /** Whether pace and health let the next call go. */
        boolean isOpen() {
            return limit.nextAt <= clock && opensAt() <= clock
                    && (health.state() == State.DOWN || limit.outage.allows());
        }

        /** When its gates open, as far as time alone opens them. */
        double gatesOpenAt() {
            return Math.max(Math.max(limit.waitUntil, limit.nextAt), nextAt);
        }

        /** When its health lets the next call go. */
        double opensAt() {
            return health.state() == State.DOWN && !calls.isEmpty() ? Double.POSITIVE_INFINITY : nextAt;
        }

        /** How long a usual answer may take here. */
        double patience() {
            return latency + SILENT_DEVIATIONS * deviation;
        }

        /**
         * How long a call may be out, as far as can be told before: what can't be repeated is not to be cut
         * off, so its time-out counts.
         */
        double expectedEnd(MessageClass type) {
            return type.repeatSafety() == RepeatSafety.UNSAFE ? timeout(type) : patience();
        }

        double timeout(MessageClass type) {
            double base = Math.max(type.aimMs() * TIMEOUT_AIMS, latency + TIMEOUT_DEVIATIONS * deviation);
            double patience = type.repeatSafety() == RepeatSafety.UNSAFE
                    ? type.deadlineMs() * UNSAFE_PATIENCE : 0;
            return Math.max(base, patience);
        }

        /** What was carried or asked for here; where nothing is known, this sender's part of a limit. */
        private double seenRate() {
            double asked = destination.demand.perMsBeforeLast() / destination.serving() * DEMAND_SHARE;
            double carried = limit.carried.perMsBeforeLast() / sharing();
            double seen = Math.max(Math.max(carried, carriedBefore), asked);
            boolean known = limit.carried.isKnown() || destination.demand.isKnown() || carriedBefore > 0;
            return known ? seen : limitPart();
        }

        private double limitPart() {
            return limit.evenPart() / sharing();
        }

        /** The endpoints that share its limit. */
        private long sharing() {
            return limit == destination.shared ? destination.serving() : 1;
        }

        private double trialRate() {
            return slowStart.probeRate(seenRate(), destination.serving());
        }

        /** When the next call may go, after one at this time: while it is down, or warming. */
        private double nextCallAt() {
            if (health.state() == State.DOWN) {
                return clock + 1 / trialRate();
            }
            double usual = slowStart.usualRate(seenRate(), limitPart());
            double back = clock - health.recoveredAt();
            double interval = slowStart.slowStartIntervalMs(back, usual, destination.serving());
            return Math.min(clock + interval, health.warmAt());
        }

        void observe(Call call, AttemptEnd end) {
            UndeliveredCalls before = limit.outage.undeliveredCalls();
            boolean suspected = limit.outage.suspects();
            count(call, end);
            if (suspected != limit.outage.suspects()) {
                actions.suspicionChanged(new Suspicion(destination.id, !suspected, entry.id(), end.message(),
                        suspected ? before : limit.outage.undeliveredCalls()));
            }
        }

        private void count(Call call, AttemptEnd end) {
            switch (end.outcome()) {
                case DELIVERED -> delivered(call, end);
                case FULL -> refused(call, end);
                case UNREACHABLE -> {
                    health.unreachable(clock);
                    if (!call.trial && limit.outage.unreachable(clock, call.sentAt)) {
                        destinationIsOut();
                    }
                }
                case ERROR -> {
                    health.failed(clock);
                    failed(call);
                }
                default -> {
                    connections.lost(call);
                    health.failed(clock);
                    // A call that had less time than a usual answer takes tells nothing of its destination.
                    if (end.outcome() != AttemptOutcome.TIMED_OUT || end.tookMs() >= patience()) {
                        failed(call);
                    }
                }
            }
        }

        private void delivered(Call call, AttemptEnd end) {
            boolean wasDown = health.state() == State.DOWN;
            connections.held(call);
            calledOff = 0;
            deviation += LATENCY_WEIGHT * (Math.abs(end.tookMs() - latency) - deviation);
            latency += LATENCY_WEIGHT * (end.tookMs() - latency);
            if (health.state() == State.UP) {
                limit.carried.count(clock);
            }
            limit.outage.delivered();
            health.delivered(clock, call.sentAt);
            if (wasDown && health.state() == State.WARMING) {
                latency = end.tookMs();
            }
            limit.delivered();
        }

        private void refused(Call call, AttemptEnd end) {
            limit.refused(call);
            health.refused(clock, end.requestedDelayMs());
            if (!call.trial && limit.outage.refused(clock, call.sentAt, end.limitReport().remainingShare())) {
                destinationIsOut();
            }
        }

        private void failed(Call call) {
            if (!call.trial && limit.outage.failed(clock, call.sentAt)) {
                destinationIsOut();
            }
        }

        private void destinationIsOut() {
            boolean lost = !limit.outage.isOnlyUnreachable();
            destination.targets.stream().filter(t -> t.limit == limit)
                    .forEach(t -> t.health.destinationOutage(clock, lost));
        }

        void overdue(Call call) {
            connections.lost(call);
            if (health.overdue(clock, call.sentAt) && !call.trial) {
                limit.suspect(entry.id());
            }
        }

        private void healthChanged(State from, State to, String reason) {
            switch (to) {
                case UP -> {
                    nextAt = clock;
                    limit.carried.resume(clock);
                }
                case DOWN -> nextAt = Math.max(clock, limit.waitUntil) + random.nextDouble() / trialRate();
                case WARMING -> nextAt = nextCallAt();
                default -> throw new IllegalStateException("unknown state " + to);
            }
            tellChange(from, reason);
            remember();
        }

        private void tellChange(State from, String reason) {
            actions.endpointChanged(new EndpointChange(entry.id(), destination.id, from, health.state(),
                    reason, limit.outage.undeliveredCalls()));
        }

        private void remember() {
            double carried = limit.carried.perMsBeforeLast() / sharing();
            actions.saveHealth(entry.id(), new Health(health.state(), clock, Math.max(carried,
                    carriedBefore)));
        }

        /**
         * Goes on where an earlier life ended. Guards against a restart in an outage, which would send all
         * that is held at once to what may just be coming back cold; and against trials and a ramp, for the
         * same backlog, at what was never out. It may hurt where an outage began unseen just before the end.
         */
        void recall(Health before) {
            health.recall(before.state(), before.since());
            carriedBefore = before.carriedPerMs();
            if (health.state() != State.UP) {
                nextAt = health.state() == State.DOWN ? clock + random.nextDouble() / trialRate()
                        : clock + random.nextDouble() * (nextCallAt() - clock);
                tellChange(State.UP, "was " + health.state() + " before the restart");
            }
        }
    }

    /**
     * How long a connection may idle before it is not trusted. Guards against connections that are dropped
     * unseen: after losses on idle ones at two destinations, connections that idled nearly so long are closed
     * before the next call, until a delivery over one that idled as long comes in. It holds whatever drops
     * them; it costs set-ups where calls are lost for another reason.
     */
    private final class Connections {
        private Optional<Call> suspect = Optional.empty();
        private double lostAt = Double.NEGATIVE_INFINITY;
        private boolean sure;

        /** How long the connection that a call now takes has idled: 0 for one in use, or a new one. */
        double take(Target target) {
            double idle = !target.calls.isEmpty() ? 0 : clock - target.usedAt;
            if (clock > lostAt + TRUST_MEMORY_MS) {
                suspect = Optional.empty();
                sure = false;
            }
            if (idle < IDLE_LEAST_MS || idle >= settings.keepAliveMs()) {
                return 0;
            }
            if (sure && suspect.filter(s -> idle > s.idledMs * TRUST_CUT).isPresent()) {
                actions.closeIdle(target.entry.id());
                return 0;
            }
            return idle;
        }

        void lost(Call call) {
            if (call.idledMs > 0) {
                sure |= suspect.filter(s -> s.target.destination != call.target.destination).isPresent();
                suspect = suspect.filter(s -> s.idledMs < call.idledMs).or(() -> Optional.of(call));
                lostAt = clock;
            }
        }

        void held(Call call) {
            suspect = suspect.filter(s -> s != call && (call.late || call.idledMs < s.idledMs));
            sure &= suspect.isPresent();
        }
    }

    /**
     * Bounds extra sends, over all destinations, by a share of first sends: copies, lest a slow one double
     * the load, and new waves of refused messages, as refused calls may use up a limit for good.
     */
    private final class Throttle {
        private final double base;
        private final double share;
        private final Deque<Double> extra = new ArrayDeque<>();

        Throttle(double base, double share) {
            this.base = base;
            this.share = share;
        }

        void sent() {
            extra.add(clock);
            timers.add(clock + THROTTLE_PERIOD_MS + CLOCK_MARGIN_MS, () -> trim(extra, THROTTLE_PERIOD_MS));
        }

        boolean allows() {
            trim(extra, THROTTLE_PERIOD_MS);
            trim(firstSends, THROTTLE_PERIOD_MS);
            return extra.size() + 1 <= base + share * firstSends.size();
        }
    }

    /** Messages in order by key: one at a time, as taken, and a rest after an end that may still run. */
    private final class KeyOrder {
        private final Map<String, Line> lines = new LinkedHashMap<>();

        private static final class Line {
            final Deque<Delivery> waiting = new ArrayDeque<>();
            double restUntil = Double.NEGATIVE_INFINITY;
            int out;
        }

        private Optional<Line> line(Delivery d) {
            return d.type.inOrder() ? d.message.key().map(lines::get) : Optional.empty();
        }

        void taken(Delivery d) {
            if (d.type.inOrder()) {
                d.message.key().ifPresent(key -> lines.computeIfAbsent(key, k -> new Line()).waiting.add(d));
            }
        }

        /** What was out in an earlier life may run on, so its key rests. */
        void resumed(Delivery d) {
            if (d.attempts.stream().anyMatch(a -> a.mayHaveRun)) {
                line(d).ifPresent(l -> l.restUntil = clock + settings.keyPauseMs());
                timers.add(clock + settings.keyPauseMs(), () -> drop(d));
            }
        }

        boolean mayGo(Delivery d) {
            return !d.type.inOrder()
                    || line(d).map(l -> l.waiting.peek() == d && l.out == d.out && l.restUntil <= clock)
                    .orElse(true);
        }

        void attemptSent(Delivery d) {
            line(d).ifPresent(l -> l.out++);
        }

        void attemptEnded(Delivery d, AttemptOutcome outcome) {
            line(d).ifPresent(l -> {
                l.out--;
                if (outcome.mayHaveRun() && outcome != AttemptOutcome.ERROR) {
                    l.restUntil = clock + settings.keyPauseMs();
                    timers.add(l.restUntil, () -> drop(d));
                }
                drop(d);
            });
        }

        void ended(Delivery d) {
            line(d).ifPresent(l -> l.waiting.remove(d));
            drop(d);
        }

        private void drop(Delivery d) {
            line(d).filter(l -> l.waiting.isEmpty() && l.out == 0 && l.restUntil <= clock)
                    .ifPresent(l -> lines.remove(d.message.key().get()));
        }
    }
}

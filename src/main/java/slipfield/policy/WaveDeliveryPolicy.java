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
import java.util.stream.Collectors;

/**
 * Sends messages in waves of attempts. {@link DeliveryPolicy} describes all events, actions and values.
 *
 * <p>A message waits in the queue until {@link #endIteration}, which ranks the waiting messages and gives
 * each the best endpoint that {@link #maySend} permits; the send starts a wave. At a fixed offset a hedged
 * attempt joins if its {@link SendBudget} allows. The first delivery wins and the other attempts are
 * cancelled. When every attempt of the wave has ended undelivered, the message waits for a new wave.
 * {@link #answerUndelivered} gives the final answer of a message that is not delivered.
 *
 * <p>Parts: {@link Delivery} is a message and its wave; {@link Call} one network call; {@link RateLimit} the
 * rate and requested delay of a destination, or of a route where routes are separate; {@link Target} an
 * endpoint. {@link EndpointHealth}, {@link OutageDetector} and {@link SlowStart} decide which calls an outage
 * and the recovery from it allow, {@link DestinationHealth} what new endpoints continue; {@link SendBudget}
 * bounds hedged attempts and retries; {@link IdleConnections} decides which idle connections are trusted;
 * {@link KeyOrder} keeps the order of keys; {@link Timers} holds what is due later. Times are in
 * milliseconds, rates in calls a millisecond.
 */
final class WaveDeliveryPolicy implements DeliveryPolicy {
    // Waves.
    /** A hedged attempt is scheduled after this share of the aim. */
    private static final double HEDGE_OFFSET = 0.5;
    /** Hedged attempts allowed in a budget period: this number plus this share of the first sends. */
    private static final double HEDGE_BASE = 1;
    private static final double HEDGE_SHARE = 0.1;
    /** New waves of refused messages allowed in a budget period, likewise. */
    private static final double RETRY_BASE = 2;
    private static final double RETRY_SHARE = 0.3;
    /** First backoff and its growth: without it quick errors or many senders would use up all attempts. */
    private static final double BACKOFF_MS = 200;
    private static final double BACKOFF_GROWTH = 3;
    /** A repeat of a keyed message must be written this long before its window ends, to allow for transit. */
    private static final double WINDOW_MARGIN_MS = 300;

    // Time-outs: at least 1.25 times the aim, more where answers are seen to take longer.
    private static final double TIMEOUT_AIMS = 1.25;
    private static final double TIMEOUT_DEVIATIONS = 8;
    /** An unsafe message has one attempt that may run; its time-out is this share of the deadline or more. */
    private static final double UNSAFE_TIMEOUT_SHARE = 0.33;
    /** Weight of a new answer time in the running mean and deviation. */
    private static final double LATENCY_WEIGHT = 0.15;
    /** Answer time assumed for an endpoint that has not answered yet. */
    private static final double INITIAL_LATENCY_MS = 250;

    /** An endpoint with at most this mean answer time frees its slots soon; see {@link Target#hasSlot}. */
    private static final double QUICK_LATENCY_MS = 250;

    /** A call is not cancelled to free its slot before it has been in flight for this time. */
    private static final double MIN_PREEMPT_MS = 200;

    // Send rate.
    /** A refusal cuts the rate to this share; the first one to this share of the last second's sends. */
    private static final double RATE_CUT = 0.7;
    /** A rate counts as at most this multiple of the calls really sent, because an unused rate only grows. */
    private static final double RATE_OVER_SENT = 1.3;
    /** Growth of the rate with each delivery. */
    private static final double RATE_GROWTH = 0.03;
    /** The longest interval of a rate. A longer one delays messages of a sender with little traffic. */
    private static final double MAX_SEND_INTERVAL_MS = 500;
    /** The slowest rate, as a share of the fair share of a listed rate, which may be too high by half. */
    private static final double LISTED_SHARE = 0.5;
    /** Weight of a newly reported rate, and the largest factor by which it may differ from the mean. */
    private static final double REPORT_WEIGHT = 0.5;
    private static final double MAX_REPORT_STEP = 2;
    /**
     * Where a limit is reported, the rate is the fair share times a factor: EXHAUSTED_FACTOR plus the
     * remaining share times REMAINING_FACTOR. It is 1 with half of the limit remaining, the mean where all of
     * it is used.
     */
    private static final double EXHAUSTED_FACTOR = 0.2;
    private static final double REMAINING_FACTOR = 1.6;
    private static final double USUAL_REMAINING = 0.5;
    /** A reported remaining share swings within each period of a limit, so it is averaged over this time. */
    private static final double REPORT_MEAN_MS = 2000;
    /**
     * If calls have waited for the rate this long without a gap, other senders may be idle and the rate
     * exceeds the fair share. It does not do so earlier, because in a burst all senders would. The excess
     * grows with the remaining share above UNUSED_REMAINING. It also grows with each answer, by IDLE_GROWTH
     * divided among all senders; each refusal halves this part.
     */
    private static final double BACKLOG_MS = 1500;
    private static final double BACKLOG_GAP_MS = 30;
    private static final double UNUSED_REMAINING = 0.75;
    private static final double UNUSED_GAIN = 8;
    private static final double IDLE_GROWTH = 0.1;
    /** A rate is saved for the process after a restart when it has changed by this share. */
    private static final double SAVE_RATE_CHANGE = 0.3;
    /** A destination without sends for this time loses its rate and its reported limit. */
    private static final double IDLE_RESET_MS = 60_000;

    /** Clocks are rounded: requested delays are extended by this time; wake-ups may be this much early. */
    private static final double CLOCK_MARGIN_MS = 1;

    // Health.
    private static final double OVERDUE_DEVIATIONS = 4;
    /** Share of the rate of accepted messages that a destination is assumed to deliver if not seen to. */
    private static final double DEMAND_SHARE = 0.7;

    /** The state of an endpoint that has left the list is dropped after this time. */
    private static final double KEEP_REMOVED_MS = 30_000;
    /**
     * So many endpoints that left the list are kept at most: more than a whole list of the largest fleet
     * has, which may be omitted by mistake, and few enough for lists whose names are always new.
     */
    private static final int MAX_REMOVED = 4096;

    // The queue.
    /** The rank is the worth lost by waiting this much longer, about as long as a queue under load takes. */
    private static final double RANK_HORIZON_MS = 1500;
    /** Weight of the plain worth in the rank. It decides between messages that lose no worth yet. */
    private static final double RANK_WORTH_WEIGHT = 0.01;
    /** Rank, less the deadline, of restored messages never tried: before all others, next to expire first. */
    private static final double UNTRIED_RANK = 1e12;
    /** The waiting time that a fee of one point equals: in that time a message loses about as much worth. */
    private static final double FEE_COST_MS = 25_000;
    private static final Comparator<Delivery> MOST_URGENT_FIRST =
            Comparator.comparingDouble((Delivery d) -> -d.rank).thenComparingDouble(d -> d.aimAt);
    /** A message without an attempt in flight gets its final answer this long before its deadline. */
    private static final double ANSWER_MARGIN_MS = 5;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    /** Whether some calls carry several messages, so that a message can be sent without a free slot. */
    private final boolean batching;
    private final Map<Long, Target> targets = new LinkedHashMap<>();
    private final Map<Long, Destination> destinations = new LinkedHashMap<>();
    /** Restored health of endpoints that no endpoint list of this process has named yet. */
    private final Map<Long, Health> restoredHealth = new LinkedHashMap<>();
    private final Map<Long, SendRate> restoredRates = new LinkedHashMap<>();
    private final Map<Long, Delivery> deliveries = new LinkedHashMap<>();
    private final Set<Delivery> queue = new LinkedHashSet<>();
    private final Set<Attempt> attemptsInFlight = new LinkedHashSet<>();
    private final RecentTimes firstSends = new RecentTimes(SendBudget.PERIOD_MS);
    private final SendBudget hedges = new SendBudget(HEDGE_BASE, HEDGE_SHARE, firstSends);
    private final SendBudget retries = new SendBudget(RETRY_BASE, RETRY_SHARE, firstSends);
    private final IdleConnections connections;
    private final SlowStart slowStart;
    private final KeyOrder keys = new KeyOrder();
    private final Timers timers;
    private int slotsUsed;
    private long iteration;
    private double shutdownAt = Double.POSITIVE_INFINITY;
    private boolean recording = true;
    private double clock = Double.NEGATIVE_INFINITY;

    WaveDeliveryPolicy(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.connections = new IdleConnections(settings.keepAliveMs());
        this.slowStart = new SlowStart(settings.coldStart(), settings.senders());
        this.timers = new Timers(actions::wakeAt, CLOCK_MARGIN_MS);
        this.batching = settings.kinds().stream().anyMatch(kind -> kind.batchSize() > 1);
    }

    // ---- events ----

    @Override
    public void endpointsChanged(double now, boolean whole, List<Endpoint> entries) {
        advanceClock(now);
        if (whole) {
            Set<Long> listed = entries.stream().map(Endpoint::id).collect(Collectors.toSet());
            targets.values().stream().filter(t -> !listed.contains(t.entry.id()))
                    .forEach(Target::markRemoved);
        }
        List<Endpoint> entering = new ArrayList<>();
        for (Endpoint entry : entries) {
            Target target = targets.get(entry.id());
            if (target == null || !target.serving && entry.serving()) {
                entering.add(entry);
            } else {
                target.update(entry);
            }
        }
        // Later than the others, since those tell whether a destination is in an outage.
        entering.stream().map(entry -> destination(entry.destination())).distinct()
                .forEach(Destination::updateHealth);
        entering.forEach(this::enter);
        dropRemoved();
    }

    /** An endpoint is new in the list, or takes calls again. */
    private void enter(Endpoint entry) {
        Target target = targets.get(entry.id());
        if (target == null) {
            Destination destination = destination(entry.destination());
            target = new Target(entry, destination);
            targets.put(entry.id(), target);
            destination.targets.add(target);
            Optional.ofNullable(restoredHealth.remove(entry.id())).ifPresent(target::restore);
            Optional.ofNullable(restoredRates.remove(entry.id())).ifPresent(target.limit::restore);
        }
        boolean enters = !target.serving && entry.serving() && !entry.removed();
        target.update(entry);
        if (enters && target.health.state() == State.UP) {
            target.destination.health.outage().ifPresent(target::continueOutage);
        }
    }

    /** Drops endpoints that left the list long ago, and the oldest of them earlier if there are too many. */
    private void dropRemoved() {
        targets.values().removeIf(t ->
                t.mayBeDropped(KEEP_REMOVED_MS) && t.destination.targets.remove(t));
        if (targets.size() <= MAX_REMOVED) {
            return;
        }
        List<Target> removed = targets.values().stream().filter(t -> t.removedAt <= clock)
                .sorted(Comparator.comparingDouble(t -> t.removedAt)).toList();
        removed.stream().limit(Math.max(0, removed.size() - MAX_REMOVED))
                .filter(t -> t.mayBeDropped(0) && t.destination.targets.remove(t))
                .forEach(t -> targets.remove(t.entry.id()));
    }

    @Override
    public void messageAccepted(double now, Message message) {
        advanceClock(now);
        accept(message).destination.demand.count(clock);
    }

    /** Restored messages do not count as demand: the period over which they were accepted is unknown. */
    @Override
    public void messageRestored(double now, Message message, List<PreviousAttempt> attempts) {
        advanceClock(now);
        Delivery d = accept(message);
        for (PreviousAttempt previous : attempts) {
            d.attempts.add(new Attempt(d, Optional.ofNullable(targets.get(previous.endpoint())), previous));
        }
        d.restoredUntried = attempts.stream().noneMatch(PreviousAttempt::mayHaveRun);
        keys.restored(d);
        if (!attempts.isEmpty()) {
            d.suspectOutage();
            answerIfExhausted(d);
        }
    }

    @Override
    public void healthRestored(double now, long endpoint, Health health) {
        advanceClock(now);
        Target target = targets.get(endpoint);
        if (target == null) {
            restoredHealth.put(endpoint, health);
        } else {
            target.restore(health);
        }
    }

    @Override
    public void destinationHealthRestored(double now, long destination, Health health) {
        advanceClock(now);
        destination(destination).health.restore(clock, health);
    }

    @Override
    public void sendRateRestored(double now, long destination, long route, SendRate saved) {
        advanceClock(now);
        if (route == ALL_ROUTES) {
            destination(destination).shared.restore(saved);
        } else {
            restoredRates.put(route, saved);
        }
    }

    @Override
    public void shutdownScheduled(double now, double end) {
        advanceClock(now);
        shutdownAt = end;
    }

    @Override
    public void recordingChanged(double now, boolean possible) {
        advanceClock(now);
        recording = possible;
    }

    private Delivery accept(Message message) {
        if (message.messageClass() < 0 || message.messageClass() >= settings.classes().size()) {
            throw new IllegalArgumentException("unknown message class " + message.messageClass());
        }
        if (deliveries.containsKey(message.id())) {
            throw new IllegalArgumentException("message " + message.id() + " was already accepted");
        }
        Delivery d = new Delivery(message);
        deliveries.put(message.id(), d);
        keys.accepted(d);
        queue.add(d);
        d.deadlineTimer = timers.add(d.deadline - ANSWER_MARGIN_MS, () -> answerUndelivered(d));
        return d;
    }

    @Override
    public void attemptEnded(double now, AttemptEnd end) {
        advanceClock(now);
        Delivery d = deliveries.get(end.message());
        if (d == null || end.attempt() < 0 || end.attempt() >= d.attempts.size()) {
            throw new IllegalArgumentException("unknown attempt " + end.attempt() + " of message "
                    + end.message());
        }
        Attempt attempt = d.attempts.get(end.attempt());
        if (!attempt.inFlight) {
            return;
        }
        attempt.inFlight = false;
        attemptsInFlight.remove(attempt);
        attempt.mayHaveRun = end.outcome().mayHaveRun();
        d.lastRefused = end.outcome() == AttemptOutcome.FULL;
        d.restoredUntried &= end.outcome() == AttemptOutcome.UNREACHABLE
                || end.outcome() == AttemptOutcome.NOT_SENT;
        d.inFlight--;
        attempt.call.ifPresent(call -> call.messageEnded(end));
        keys.attemptEnded(d, end.outcome());
        if (end.finished()) {
            endMessage(d);
        }
        if (d.ended) {
            removeIfDone(d);
        } else if (d.inFlight == 0) {
            awaitNextWave(d);
        }
    }

    @Override
    public boolean mayBegin(double now, long message, int attempt) {
        Delivery d = deliveries.get(message);
        return !d.ended && d.attempts.get(attempt).target.get().limit.delayedUntil <= now;
    }

    @Override
    public void messageWithdrawn(double now, long message) {
        advanceClock(now);
        Delivery d = deliveries.get(message);
        if (d != null && !d.ended) {
            endMessage(d);
            removeIfDone(d);
        }
    }

    @Override
    public void wake(double now) {
        advanceClock(now);
    }

    @Override
    public void endIteration(double now) {
        advanceClock(now);
        timers.runDue(now);
        sendWaiting();
        timers.requestWake(now, nextCallTime());
        iteration++;
    }

    private Destination destination(long id) {
        return destinations.computeIfAbsent(id, Destination::new);
    }

    private void advanceClock(double now) {
        if (now < clock) {
            throw new IllegalArgumentException("the time must not decrease");
        }
        clock = now;
    }

    // ---- decisions ----

    /**
     * Sends waiting messages, the most urgent first, as far as rates, delays, health and slots allow. Each
     * iteration visits all waiting messages, so it ranks only those whose destination takes calls now: a
     * backlog must not use up the CPU too.
     */
    private void sendWaiting() {
        List<Delivery> ranked = new ArrayList<>();
        List<Delivery> withoutSlot = new ArrayList<>();
        for (Delivery d : queue) {
            Destination to = d.destination;
            if (to.seenIteration != iteration) {
                to.seenIteration = iteration;
                to.openInIteration = to.isOpen();
                to.slotInIteration = batching || to.hasSlot();
            }
            if (to.openInIteration && d.notBefore <= clock) {
                (to.slotInIteration ? ranked : withoutSlot).add(d);
            }
        }
        ranked.forEach(d -> d.rank = d.rank());
        ranked.sort(MOST_URGENT_FIRST);
        for (Delivery d : ranked) {
            if (slotsUsed >= settings.slots() && !batching) {
                break;
            }
            if (d.destination.isOpen()) {
                chooseTarget(d, false).ifPresent(target -> send(d, target, false));
            }
        }
        withoutSlot.addAll(ranked);
        if (slotsUsed >= settings.slots() - 1 && withoutSlot.stream().anyMatch(this::needsOnlySlot)) {
            freeSlot();
        }
    }

    /** Returns whether the message could be sent if a slot were free. */
    private boolean needsOnlySlot(Delivery d) {
        return d.inFlight == 0 && d.destination.targets.stream()
                .anyMatch(t -> t.isOpen() && !t.hasSlot() && allows(d, t));
    }

    /**
     * Cancels the call that is most overdue by its endpoint's usual answer time, if it may be repeated.
     * Guards against calls that get no answer anywhere: a few in a hundred of them hold all slots till their
     * time-outs, and messages that expire meanwhile cannot be repeated. A slow endpoint gets more time with
     * each call cancelled.
     */
    private void freeSlot() {
        if (!settings.cancelsRedundant()) {
            return;
        }
        Attempt longest = null;
        for (Attempt a : attemptsInFlight) {
            boolean eligible = !a.preempted && a.delivery.type.repeatSafety() != RepeatSafety.UNSAFE
                    && a.overdueRatio() > 1;
            if (eligible && (longest == null || a.overdueRatio() > longest.overdueRatio())) {
                longest = a;
            }
        }
        if (longest != null) {
            longest.preempted = true;
            longest.target.get().preemptedCalls++;
            actions.cancel(longest.delivery.message.id(), longest.delivery.attempts.indexOf(longest));
        }
    }

    /** Returns the permitted endpoint of lowest cost; a hedged attempt goes to another endpoint if it can. */
    private Optional<Target> chooseTarget(Delivery d, boolean hedge) {
        Target best = null;
        boolean others = hedge && d.destination.targets.stream().anyMatch(t -> t.serving && !d.isActiveAt(t));
        for (Target target : d.destination.targets) {
            boolean skipped = others && d.isActiveAt(target) || hedge && target.health.state() == State.DOWN;
            if (!skipped && maySend(d, target) && (best == null || target.cost(d) < best.cost(d))) {
                best = target;
            }
        }
        return Optional.ofNullable(best);
    }

    /** The check that every send must pass: first attempt, hedged attempt and new wave. */
    private boolean maySend(Delivery d, Target target) {
        return allows(d, target) && (target.canJoinCall()
                || target.hasSlot() && target.isOpen());
    }

    /** The conditions for any send to the endpoint, whether it takes a slot or joins a call. */
    private boolean allows(Delivery d, Target target) {
        return recording && !d.ended && target.serving
                && clock < d.deadline - ANSWER_MARGIN_MS
                && d.attempts.size() < settings.maxAttempts()
                && mayRepeat(d, target)
                && keys.isNext(d)
                && (!d.lastRefused || d.inFlight > 0 || retries.allows(clock))
                && target.limit.delayedUntil <= clock
                && clock + target.expectedDurationMs(d.type) <= shutdownAt;
    }

    /** Returns whether one more attempt there keeps the guarantee that no effect happens twice. */
    private boolean mayRepeat(Delivery d, Target target) {
        return mayRepeat(d) && !(d.type.repeatSafety() == RepeatSafety.KEYED && d.type.sameZone()
                && d.attempts.stream().anyMatch(a -> (a.inFlight || a.mayHaveRun) && !a.isInZoneOf(target)));
    }

    /** The same for every endpoint, as far as time and repeat safety alone decide. */
    private boolean mayRepeat(Delivery d) {
        return clock <= repeatDeadline(d) && d.attempts.stream().noneMatch(a ->
                a.inFlight && !settings.hedging()
                || (a.inFlight || a.mayHaveRun) && d.type.repeatSafety() == RepeatSafety.UNSAFE);
    }

    /** Returns until when a repeat may be written: a keyed message that may have run has its window. */
    private double repeatDeadline(Delivery d) {
        return d.type.repeatSafety() != RepeatSafety.KEYED ? Double.POSITIVE_INFINITY
                : d.attempts.stream().filter(a -> a.inFlight || a.mayHaveRun).mapToDouble(a -> a.sentAt).min()
                .orElse(Double.POSITIVE_INFINITY) + d.type.deduplicationWindowMs() - WINDOW_MARGIN_MS;
    }

    private void send(Delivery d, Target target, boolean hedge) {
        double latestWriteMs = repeatDeadline(d) - clock;
        Call call = target.joinOrStartCall();
        Attempt attempt = new Attempt(d, call);
        d.attempts.add(attempt);
        attemptsInFlight.add(attempt);
        d.inFlight++;
        queue.remove(d);
        keys.attemptSent(d);
        if (hedge) {
            sentWithin(hedges);
        } else if (d.attempts.size() == 1) {
            firstSends.add(clock);
        } else if (d.lastRefused) {
            sentWithin(retries);
        }
        double timeoutMs = Math.min(target.timeoutMs(d.type), d.deadline - clock);
        actions.send(d.message.id(), target.entry.id(), new AttemptTiming(timeoutMs, latestWriteMs));
        double offset = d.type.aimMs() * HEDGE_OFFSET;
        if (settings.hedging() && !hedge) {
            timers.add(clock + offset, () -> hedgeDue(d, attempt));
        }
        timers.add(clock + Math.max(offset, target.overdueAfterMs()), call::checkOverdue);
    }

    /** Counts an additional send, and wakes up when it has left the budget's period. */
    private void sentWithin(SendBudget budget) {
        budget.sent(clock);
        timers.add(clock + SendBudget.PERIOD_MS + CLOCK_MARGIN_MS, () -> { });
    }

    /** The hedge offset after a send has passed: a hedged attempt may join the wave. */
    private void hedgeDue(Delivery d, Attempt attempt) {
        boolean eligible = attempt.inFlight && d.type.repeatSafety() != RepeatSafety.UNSAFE;
        if (eligible && !d.ended && slotsUsed < settings.slots() && hedges.allows(clock)) {
            chooseTarget(d, true).ifPresent(target -> send(d, target, true));
        }
    }

    /** The wave has ended undelivered: waits for a new wave, unless no further attempt is possible. */
    private void awaitNextWave(Delivery d) {
        answerIfExhausted(d);
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
     * Answers a message that cannot be attempted again: now, or when its deduplication window has passed.
     * Guards against an answer that is held back until the deadline, when it is of no more use.
     */
    private void answerIfExhausted(Delivery d) {
        if (!mayContinue(d)) {
            answerUndelivered(d);
        } else if (repeatDeadline(d) < Double.POSITIVE_INFINITY) {
            timers.add(repeatDeadline(d) + CLOCK_MARGIN_MS, () -> {
                if (!mayContinue(d)) {
                    answerUndelivered(d);
                }
            });
        }
    }

    /** Returns whether a further attempt is possible, also at an endpoint that is yet to be listed. */
    private boolean mayContinue(Delivery d) {
        return d.attempts.size() < settings.maxAttempts() && clock < d.deadline - ANSWER_MARGIN_MS
                && (d.destination.targets.isEmpty() ? mayRepeat(d)
                        : d.destination.targets.stream().anyMatch(t -> mayRepeat(d, t)));
    }

    /**
     * Gives the final answer of a message that is not in flight: refused if submitting it again is harmless,
     * else failed. A keyed message that may have run fails: another sender would count its window from its
     * own first attempt, and could send it after the real window has ended.
     */
    private void answerUndelivered(Delivery d) {
        if (d.ended || d.inFlight > 0) {
            return;
        }
        if (d.type.repeatSafety() == RepeatSafety.SAFE
                || d.attempts.stream().noneMatch(a -> a.inFlight || a.mayHaveRun)) {
            actions.refuse(d.message.id(), Math.max(0, d.destination.opensAt() - clock));
        } else {
            actions.fail(d.message.id());
        }
        endMessage(d);
        removeIfDone(d);
    }

    /** Ends a message and cancels its attempts that are still in flight. */
    private void endMessage(Delivery d) {
        if (d.ended) {
            return;
        }
        d.ended = true;
        queue.remove(d);
        keys.ended(d);
        for (int i = 0; i < d.attempts.size(); i++) {
            if (d.attempts.get(i).inFlight && settings.cancelsRedundant()) {
                actions.cancel(d.message.id(), i);
            }
        }
    }

    private void removeIfDone(Delivery d) {
        if (d.inFlight == 0) {
            deliveries.remove(d.message.id());
            // Otherwise the timer would keep the message in memory until its deadline, long after its end.
            timers.cancel(d.deadlineTimer);
        }
    }

    /** Returns when the next call for a waiting message is allowed by time alone, or infinity. */
    private double nextCallTime() {
        return targets.values().stream().filter(t -> t.destination.seenIteration == iteration && t.serving)
                .mapToDouble(Target::earliestCallAt).filter(at -> at > clock).min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    // ---- parts ----

    /** A message and its wave of attempts. */
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
        boolean lastRefused;
        boolean restoredUntried;
        int inFlight;
        boolean ended;
        Timers.Timer deadlineTimer;

        Delivery(Message message) {
            this.message = message;
            this.type = settings.classes().get(message.messageClass());
            this.destination = destination(message.destination());
            this.deadline = clock + message.timeLeftMs();
            this.aimAt = deadline - type.deadlineMs() + type.aimMs();
        }

        /** An earlier process could not deliver it: the destination is suspected until a delivery. */
        void suspectOutage() {
            destination.shared.suspect(Suspicion.NONE);
            attempts.forEach(a -> a.target.ifPresent(t -> t.limit.suspect(t.entry.id())));
        }

        boolean isActiveAt(Target target) {
            return attempts.stream().anyMatch(a ->
                    a.inFlight && a.target.filter(t -> t == target).isPresent());
        }

        /** Returns the worth of a delivery at that time. */
        double worthAt(double time) {
            return time > deadline ? 0
                    : WorthCurve.worth(type, settings.decay(), Math.max(0, time - aimAt));
        }

        double rank() {
            double worth = worthAt(clock);
            return restoredUntried ? UNTRIED_RANK - deadline
                    : worth - worthAt(clock + RANK_HORIZON_MS) + RANK_WORTH_WEIGHT * worth;
        }
    }

    /**
     * One attempt of a message. An attempt of an earlier process has no call and holds no slot, and its
     * endpoint may have left the list since.
     */
    private final class Attempt {
        final Delivery delivery;
        final Optional<Call> call;
        final Optional<Target> target;
        final double sentAt;
        boolean inFlight;
        boolean mayHaveRun;
        boolean preempted;

        Attempt(Delivery delivery, Call call) {
            this.delivery = delivery;
            this.call = Optional.of(call);
            this.target = Optional.of(call.target);
            this.sentAt = call.sentAt;
            this.inFlight = true;
        }

        Attempt(Delivery delivery, Optional<Target> target, PreviousAttempt previous) {
            this.delivery = delivery;
            this.call = Optional.empty();
            this.target = target;
            this.sentAt = previous.sentAt();
            this.mayHaveRun = previous.mayHaveRun();
        }

        /** Returns the time in flight, relative to a limit that grows with the endpoint's cancelled calls. */
        double overdueRatio() {
            return target.map(t -> (clock - sentAt)
                    / (Math.max(t.overdueAfterMs(), MIN_PREEMPT_MS) * (1 + t.preemptedCalls))).orElse(0.0);
        }

        boolean isInZoneOf(Target other) {
            return target.filter(t -> t.entry.zone() == other.entry.zone()).isPresent();
        }
    }

    /** One network call with one or more messages. The first result of a message counts for the endpoint. */
    private final class Call {
        final Target target;
        final double sentAt = clock;
        final long sentIteration = iteration;
        final IdleConnections.Use connection;
        /** Its endpoint was down when it was sent: its result says nothing about other endpoints. */
        final boolean downProbe;
        /** Its destination was suspected when it was sent. */
        final boolean suspicionProbe;
        int messages;
        int messagesInFlight;
        boolean observed;
        boolean overdue;

        Call(Target target) {
            this.target = target;
            this.connection = new IdleConnections.Use(target.destination.id, target.idleMsOfNextCall());
            this.downProbe = target.health.state() == State.DOWN;
            this.suspicionProbe = !downProbe && target.limit.outage.suspects();
            if (suspicionProbe) {
                target.limit.outage.probeSent();
            }
            target.lastUsedAt = clock;
            slotsUsed++;
            target.calls.add(this);
            target.destination.callsInFlight++;
        }

        void messageEnded(AttemptEnd end) {
            messagesInFlight--;
            target.limit.delayRequested(end.requestedDelayMs());
            target.limit.limitReported(end);
            if (!observed && end.outcome() != AttemptOutcome.CANCELLED
                    && end.outcome() != AttemptOutcome.NOT_SENT) {
                observed = true;
                target.callEnded(this, end);
            }
            target.lastUsedAt = clock;
            if (messagesInFlight == 0) {
                if (suspicionProbe) {
                    target.limit.outage.probeEnded();
                }
                slotsUsed--;
                target.calls.remove(this);
                target.destination.callsInFlight--;
            }
        }

        void checkOverdue() {
            if (!overdue && !observed && messagesInFlight > 0) {
                overdue = true;
                target.callOverdue(this);
            }
        }
    }

    /** A destination: its endpoints and, where they share one, its rate limit. */
    private final class Destination {
        final long id;
        final List<Target> targets = new ArrayList<>();
        final RateLimit shared = new RateLimit(this, ALL_ROUTES);
        final EventRate demand = new EventRate(clock);
        final DestinationHealth health = new DestinationHealth(settings.coldStart().warmUpMs());
        int callsInFlight;
        /** The last iteration in which a message waited for it; whether it took calls and had a slot. */
        long seenIteration = -1;
        boolean openInIteration;
        boolean slotInIteration;

        Destination(long id) {
            this.id = id;
        }

        /** Returns the number of serving endpoints, but at least 1. */
        long serving() {
            return Math.max(1, targets.stream().filter(t -> t.serving).count());
        }

        /** Returns whether rate, requested delay and health of any of its endpoints let a call pass. */
        boolean isOpen() {
            return targets.stream().anyMatch(t ->
                    t.serving && (t.canJoinCall() || t.limit.delayedUntil <= clock && t.isOpen()));
        }

        /** Updates whether it is in an outage, or recovers from one, from the states of its endpoints. */
        void updateHealth() {
            if (health.update(clock, targets.stream().map(Target::known).toList())) {
                actions.saveDestinationHealth(id, health.saved(clock));
            }
        }

        /** Returns whether a slot is free for a call to any of its endpoints. */
        boolean hasSlot() {
            return targets.stream().anyMatch(t -> t.serving && t.hasSlot());
        }

        /** Returns when a client should submit again: at the first possible call, or now if none is known. */
        double opensAt() {
            return targets.stream().filter(t -> t.serving).mapToDouble(Target::earliestCallAt).min()
                    .orElse(clock);
        }
    }

    /** The send rate and requested delay of one limit. Guards against refusals and calls during a delay. */
    private final class RateLimit {
        final EventRate sends = new EventRate(clock);
        /** Deliveries while the endpoint is in service. */
        final EventRate deliveryRate = new EventRate(clock);
        final OutageDetector outage = new OutageDetector();
        final RecentTimes sendsOfLastSecond = new RecentTimes(1000);
        final Destination destination;
        final long route;
        double listedRate;
        double reportedRate;
        double remaining = USUAL_REMAINING;
        double remainingAt = clock;
        double backlogSince = clock;
        double idleFactor = 1;
        double rate = Double.POSITIVE_INFINITY;
        double nextSendAt = Double.NEGATIVE_INFINITY;
        double delayedUntil = Double.NEGATIVE_INFINITY;
        double lastCutAt = Double.NEGATIVE_INFINITY;
        double savedRate;

        RateLimit(Destination destination, long route) {
            this.destination = destination;
            this.route = route;
        }

        /** Restores a saved rate, so that pending messages need no more refusals to find the limit. */
        void restore(SendRate saved) {
            rate = saved.perMs();
            savedRate = rate;
            reportedRate = saved.reportedPerMs();
            nextSendAt = clock + random.nextDouble() / rate;
        }

        private void save() {
            double known = reportedRate > 0 ? fairShare() : rate;
            if (Math.abs(known - savedRate) > SAVE_RATE_CHANGE * savedRate) {
                savedRate = known;
                actions.saveSendRate(destination.id, route, new SendRate(rate, reportedRate));
            }
        }

        /** Suspects the destination: calls are made one at a time until one is delivered. */
        void suspect(long endpoint) {
            if (!outage.suspects()) {
                outage.suspect(clock);
                actions.suspicionChanged(new Suspicion(destination.id, true, endpoint, Suspicion.NONE,
                        outage.undeliveredCalls()));
            }
        }

        void sent() {
            if (sendsOfLastSecond.latest().orElse(clock) < clock - IDLE_RESET_MS) {
                rate = Double.POSITIVE_INFINITY;
                reportedRate = 0;
                save();
            }
            sends.count(clock);
            sendsOfLastSecond.add(clock);
            if (rate < Double.POSITIVE_INFINITY) {
                backlogSince = nextSendAt < clock - BACKLOG_GAP_MS ? clock : backlogSince;
                nextSendAt = Math.max(nextSendAt, clock) + 1 / rate;
            }
        }

        /** Each message of a call may report a delay of its own, in different iterations. */
        void delayRequested(double delayMs) {
            delayedUntil = delayMs > 0 ? Math.max(delayedUntil, clock + delayMs + CLOCK_MARGIN_MS)
                    : delayedUntil;
        }

        /** A report may be wrong, so its weight is bounded. After a refusal nothing remains in any case. */
        void limitReported(AttemptEnd end) {
            if (end.limitReport().perSecond() > 0) {
                double reported = end.limitReport().perSecond() / 1000;
                reportedRate = reportedRate == 0 ? reported : reportedRate + REPORT_WEIGHT * (Math.max(
                        reportedRate / MAX_REPORT_STEP, Math.min(reported, reportedRate * MAX_REPORT_STEP))
                        - reportedRate);
                double observed = end.outcome() == AttemptOutcome.FULL ? 0
                        : end.limitReport().remainingShareOr(USUAL_REMAINING);
                remaining = observed
                        + (remaining - observed) * Math.exp((remainingAt - clock) / REPORT_MEAN_MS);
                remainingAt = clock;
                boolean hasBacklog = clock > backlogSince + BACKLOG_MS;
                idleFactor = !hasBacklog || end.outcome() == AttemptOutcome.FULL ? Math.max(1, idleFactor / 2)
                        : Math.min(settings.senders(), idleFactor * (1 + IDLE_GROWTH / settings.senders()));
                rate = fairShare() * (idleFactor * (EXHAUSTED_FACTOR + REMAINING_FACTOR * remaining)
                        + (hasBacklog ? UNUSED_GAIN * Math.max(0, remaining - UNUSED_REMAINING) : 0));
                nextSendAt = Math.min(nextSendAt, clock + 1 / rate);
                save();
            }
        }

        /**
         * Ignores refusals of calls sent before the last cut. Delays requested from all senders end at one
         * moment, so the next send is at a random time after it; otherwise they would all send at once.
         */
        void refused(Call call) {
            if (call.sentAt < lastCutAt) {
                return;
            }
            if (reportedRate == 0) {
                double sent = rate == Double.POSITIVE_INFINITY ? sendsOfLastSecond.countAtLatest() / 1000.0
                        : Math.min(rate, RATE_OVER_SENT * sends.perMs());
                rate = Math.max(Math.max(1 / MAX_SEND_INTERVAL_MS, fairShare()), sent * RATE_CUT);
            }
            lastCutAt = clock;
            nextSendAt = Math.max(clock, delayedUntil) + (0.5 + random.nextDouble()) / rate;
            save();
        }

        void delivered() {
            if (reportedRate == 0 && rate < Double.POSITIVE_INFINITY) {
                rate *= 1 + RATE_GROWTH;
                save();
            }
        }

        /** Returns this sender's equal share of the rate that the limit is known to allow at least. */
        double fairShare() {
            return (reportedRate > 0 ? reportedRate : LISTED_SHARE * listedRate) / settings.senders();
        }
    }

    /**
     * An endpoint: its calls, its usual answer times, and when its health lets the next call go. While it is
     * down, single probes replace the backlog; when it answers again, a slow start stays within its capacity.
     */
    private final class Target {
        final Endpoint entry;
        final Destination destination;
        final RateLimit limit;
        final int batchSize;
        final double fee;
        final EndpointHealth health;
        boolean serving;
        Call latest;
        /** Its calls in flight, in the order sent. */
        final Deque<Call> calls = new ArrayDeque<>();
        double latency = INITIAL_LATENCY_MS;
        double deviation = INITIAL_LATENCY_MS / 2;
        int preemptedCalls;
        /** The delivery rate before an outage that an earlier process saw. */
        double savedRate;
        double nextSendAt = Double.NEGATIVE_INFINITY;
        double lastUsedAt = Double.NEGATIVE_INFINITY;
        double removedAt = Double.POSITIVE_INFINITY;

        Target(Endpoint entry, Destination destination) {
            Kind kind = settings.kinds().get(Math.min(entry.kind(), settings.kinds().size() - 1));
            this.entry = entry;
            this.destination = destination;
            this.limit = kind.separateRoutes() ? new RateLimit(destination, entry.id())
                    : destination.shared;
            this.batchSize = kind.batchSize();
            this.health = new EndpointHealth(clock, settings.coldStart().warmUpMs(), this::healthChanged);
            boolean charged = kind.separateRoutes() && entry.zone() < settings.zoneFees().size();
            this.fee = charged ? settings.zoneFees().get(entry.zone()) : 0;
        }

        /** Takes over what the endpoint list says of it. */
        void update(Endpoint listed) {
            limit.listedRate = settings.ratesListed() ? listed.listedRate() / 1000 : 0;
            if (listed.removed()) {
                markRemoved();
            } else {
                serving = listed.serving();
                removedAt = Double.POSITIVE_INFINITY;
            }
        }

        DestinationHealth.KnownEndpoint known() {
            return new DestinationHealth.KnownEndpoint(health, serving, savedRate, carriedPerMs());
        }

        void markRemoved() {
            serving = false;
            removedAt = Math.min(removedAt, clock);
        }

        /** A list may omit an endpoint by mistake, so its state is kept for as long as it can matter. */
        boolean mayBeDropped(double keepMs) {
            return clock >= removedAt + keepMs && calls.isEmpty() && limit.delayedUntil <= clock;
        }

        /**
         * Returns the cost of a call in ms: the usual answer time times the calls in flight including this
         * one, a penalty for undelivered calls, and the fee. A due probe goes first, otherwise the endpoint
         * would stay down for ever; unsafe messages avoid it.
         */
        double cost(Delivery d) {
            if (health.state() == State.DOWN) {
                return (d.type.repeatSafety() == RepeatSafety.UNSAFE ? 1 : -1) * Double.POSITIVE_INFINITY;
            }
            double freeShare = 1 - (double) slotsUsed / settings.slots();
            return latency * (1 + calls.size()) + health.undeliveredCount() * EndpointHealth.DOWN_MS
                    + fee * FEE_COST_MS * freeShare;
        }

        /** Returns how long the connection that a call now uses was idle: 0 for one in use, or a new one. */
        double idleMsOfNextCall() {
            double idle = !calls.isEmpty() ? 0 : clock - lastUsedAt;
            boolean trusted = connections.isTrusted(clock, idle);
            if (!connections.isIdle(idle)) {
                return 0;
            }
            if (!trusted) {
                actions.closeIdle(entry.id());
            }
            return trusted ? idle : 0;
        }

        boolean canJoinCall() {
            return latest != null && latest.sentIteration == iteration && latest.messages < batchSize
                    && health.state() != State.DOWN;
        }

        Call joinOrStartCall() {
            if (!canJoinCall()) {
                latest = new Call(this);
                limit.sent();
                health.endSlowStartIfDue(clock);
                nextSendAt = health.state() == State.UP ? nextSendAt : nextCallAt();
            }
            latest.messages++;
            latest.messagesInFlight++;
            return latest;
        }

        /**
         * A destination may hold fewer slots than stay free, so that a slow or silent one does not hold them
         * all. A quick one frees its slots soon, so it may hold all but one: otherwise a quarter of them is
         * idle while its messages wait. If it goes silent, it holds them until its first call is overdue.
         */
        boolean hasSlot() {
            int free = settings.slots() - slotsUsed;
            boolean quick = latency <= QUICK_LATENCY_MS && health.lastDeliveredAt() > Double.NEGATIVE_INFINITY
                    && (calls.isEmpty() || clock - calls.peek().sentAt <= overdueAfterMs());
            return quick && free > 1 || free > 0 && destination.callsInFlight < Math.max(1, free - 1);
        }

        /** Returns whether send rate and health let the next call go. */
        boolean isOpen() {
            return limit.nextSendAt <= clock && healthAllowsAt() <= clock
                    && (health.state() == State.DOWN || limit.outage.allows());
        }

        /** Returns when rate, delay and health allow a call, as far as time alone decides. */
        double earliestCallAt() {
            return Math.max(Math.max(limit.delayedUntil, limit.nextSendAt), nextSendAt);
        }

        /** Returns when its health lets the next call go. */
        double healthAllowsAt() {
            return health.state() == State.DOWN && !calls.isEmpty() ? Double.POSITIVE_INFINITY : nextSendAt;
        }

        /** Returns the time that a usual answer may take; a call that takes longer is overdue. */
        double overdueAfterMs() {
            return latency + OVERDUE_DEVIATIONS * deviation;
        }

        /**
         * Returns how long a call is expected to take at most. A message that cannot be repeated must not be
         * cut off, so its whole time-out counts.
         */
        double expectedDurationMs(MessageClass type) {
            return type.repeatSafety() == RepeatSafety.UNSAFE ? timeoutMs(type) : overdueAfterMs();
        }

        double timeoutMs(MessageClass type) {
            double base = Math.max(type.aimMs() * TIMEOUT_AIMS, latency + TIMEOUT_DEVIATIONS * deviation);
            double minimum = type.repeatSafety() == RepeatSafety.UNSAFE
                    ? type.deadlineMs() * UNSAFE_TIMEOUT_SHARE : 0;
            return Math.max(base, minimum);
        }

        /** Returns the delivered or requested rate; if neither is known, this sender's share of the limit. */
        private double observedRate() {
            double requested = destination.demand.perMsBeforeLast() / destination.serving() * DEMAND_SHARE;
            double delivered = limit.deliveryRate.perMsBeforeLast() / sharingEndpoints();
            double observed = Math.max(Math.max(delivered, savedRate), requested);
            boolean known = limit.deliveryRate.isKnown() || destination.demand.isKnown() || savedRate > 0;
            return known ? observed : limitShare();
        }

        private double limitShare() {
            return limit.fairShare() / sharingEndpoints();
        }

        /** Returns the number of endpoints that share its rate limit. */
        private long sharingEndpoints() {
            return limit == destination.shared ? destination.serving() : 1;
        }

        private double probeRate() {
            return slowStart.probeRate(observedRate(), destination.serving());
        }

        /** Returns when the call after one made now may go, while the endpoint is down or in a slow start. */
        private double nextCallAt() {
            if (health.state() == State.DOWN) {
                return clock + 1 / probeRate();
            }
            double usual = slowStart.usualRate(observedRate(), limitShare());
            double sinceRecovery = clock - health.recoveredAt();
            double interval = slowStart.slowStartIntervalMs(sinceRecovery, usual, destination.serving());
            return Math.min(clock + interval, health.slowStartEndsAt());
        }

        void callEnded(Call call, AttemptEnd end) {
            UndeliveredCalls before = limit.outage.undeliveredCalls();
            boolean suspected = limit.outage.suspects();
            recordOutcome(call, end);
            if (suspected != limit.outage.suspects()) {
                actions.suspicionChanged(new Suspicion(destination.id, !suspected, entry.id(), end.message(),
                        suspected ? before : limit.outage.undeliveredCalls()));
            }
        }

        private void recordOutcome(Call call, AttemptEnd end) {
            switch (end.outcome()) {
                case DELIVERED -> delivered(call, end);
                case FULL -> refused(call, end);
                case UNREACHABLE -> {
                    health.unreachable(clock);
                    if (!call.downProbe && limit.outage.unreachable(clock, call.sentAt)) {
                        confirmOutage();
                    }
                }
                case ERROR -> {
                    health.failed(clock);
                    failed(call);
                }
                default -> {
                    connections.callLost(clock, call.connection);
                    health.failed(clock);
                    // A call that had less time than a usual answer takes says nothing about its destination.
                    if (end.outcome() != AttemptOutcome.TIMED_OUT || end.tookMs() >= overdueAfterMs()) {
                        failed(call);
                    }
                }
            }
        }

        private void delivered(Call call, AttemptEnd end) {
            boolean wasDown = health.state() == State.DOWN;
            connections.callDelivered(call.connection, call.overdue);
            preemptedCalls = 0;
            deviation += LATENCY_WEIGHT * (Math.abs(end.tookMs() - latency) - deviation);
            latency += LATENCY_WEIGHT * (end.tookMs() - latency);
            if (health.state() == State.UP) {
                limit.deliveryRate.count(clock);
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
            if (!call.downProbe
                    && limit.outage.refused(clock, call.sentAt, end.limitReport().remainingShare())) {
                confirmOutage();
            }
        }

        private void failed(Call call) {
            if (!call.downProbe && limit.outage.failed(clock, call.sentAt)) {
                confirmOutage();
            }
        }

        private void confirmOutage() {
            boolean callsLost = !limit.outage.isOnlyUnreachable();
            destination.targets.stream().filter(t -> t.limit == limit)
                    .forEach(t -> t.health.destinationOutage(clock, callsLost));
        }

        void callOverdue(Call call) {
            connections.callLost(clock, call.connection);
            if (health.overdue(clock, call.sentAt) && !call.downProbe) {
                limit.suspect(entry.id());
            }
        }

        private void healthChanged(State from, State to, String reason) {
            switch (to) {
                case UP -> {
                    nextSendAt = clock;
                    limit.deliveryRate.resume(clock);
                }
                case DOWN -> nextSendAt =
                        Math.max(clock, limit.delayedUntil) + random.nextDouble() / probeRate();
                case WARMING -> nextSendAt = nextCallAt();
                default -> throw new IllegalStateException("unknown state " + to);
            }
            reportChange(from, reason);
            save();
            destination.updateHealth();
        }

        private void reportChange(State from, String reason) {
            actions.endpointChanged(new EndpointChange(entry.id(), destination.id, from, health.state(),
                    reason, limit.outage.undeliveredCalls()));
        }

        private double carriedPerMs() {
            return Math.max(limit.deliveryRate.perMsBeforeLast() / sharingEndpoints(), savedRate);
        }

        private void save() {
            actions.saveHealth(entry.id(), new Health(health.state(), clock, carriedPerMs()));
        }

        /**
         * Restores saved health. Guards against a restart in an outage, which would send all pending messages
         * at once to a recovering endpoint; and against probes and a slow start, for that backlog, at one
         * that was never in an outage. An outage that began unnoticed just before the process ended is not
         * known.
         */
        void restore(Health saved) {
            health.restore(saved.state(), saved.since());
            savedRate = saved.carriedPerMs();
            if (health.state() != State.UP) {
                nextSendAt = firstCallAt();
                reportChange(State.UP, "was " + health.state() + " before the restart");
            }
        }

        /**
         * Continues an outage of its destination, or the recovery from it. Guards against a backlog that is
         * sent at once to a machine that replaces the one that failed, and is listed under another id.
         */
        void continueOutage(DestinationHealth.Outage outage) {
            health.continueFrom(outage.health(), clock);
            savedRate = Math.max(savedRate, outage.savedRate());
            nextSendAt = firstCallAt();
            reportChange(State.UP, "is new at a destination that is " + health.state());
            save();
        }

        /** Returns a random time for the first call, so that the senders of a fleet do not call at once. */
        private double firstCallAt() {
            return health.state() == State.DOWN ? clock + random.nextDouble() / probeRate()
                    : clock + random.nextDouble() * (nextCallAt() - clock);
        }
    }

    /** Sends messages of a key one at a time, as accepted; pauses after an attempt that may still run. */
    private final class KeyOrder {
        private final Map<String, KeyQueue> queues = new LinkedHashMap<>();

        private static final class KeyQueue {
            final Deque<Delivery> waiting = new ArrayDeque<>();
            double pausedUntil = Double.NEGATIVE_INFINITY;
            int inFlight;
        }

        private Optional<KeyQueue> queueOf(Delivery d) {
            return d.type.inOrder() ? d.message.key().map(queues::get) : Optional.empty();
        }

        void accepted(Delivery d) {
            if (d.type.inOrder()) {
                d.message.key().ifPresent(key ->
                        queues.computeIfAbsent(key, k -> new KeyQueue()).waiting.add(d));
            }
        }

        /** An attempt that an earlier process had in flight may still be running, so its key pauses. */
        void restored(Delivery d) {
            if (d.attempts.stream().anyMatch(a -> a.mayHaveRun)) {
                queueOf(d).ifPresent(q -> q.pausedUntil = clock + settings.keyPauseMs());
                timers.add(clock + settings.keyPauseMs(), () -> removeQueueIfEmpty(d));
            }
        }

        boolean isNext(Delivery d) {
            return !d.type.inOrder()
                    || queueOf(d).map(q -> q.waiting.peek() == d && q.inFlight == d.inFlight
                            && q.pausedUntil <= clock).orElse(true);
        }

        void attemptSent(Delivery d) {
            queueOf(d).ifPresent(q -> q.inFlight++);
        }

        void attemptEnded(Delivery d, AttemptOutcome outcome) {
            queueOf(d).ifPresent(q -> {
                q.inFlight--;
                if (outcome.mayHaveRun() && outcome != AttemptOutcome.ERROR) {
                    q.pausedUntil = clock + settings.keyPauseMs();
                    timers.add(q.pausedUntil, () -> removeQueueIfEmpty(d));
                }
                removeQueueIfEmpty(d);
            });
        }

        void ended(Delivery d) {
            queueOf(d).ifPresent(q -> q.waiting.remove(d));
            removeQueueIfEmpty(d);
        }

        private void removeQueueIfEmpty(Delivery d) {
            queueOf(d).filter(q -> q.waiting.isEmpty() && q.inFlight == 0 && q.pausedUntil <= clock)
                    .ifPresent(q -> queues.remove(d.message.key().get()));
        }
    }
}

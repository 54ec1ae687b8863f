package slipfield.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import slipfield.SimulatedTime;
import slipfield.policy.DeliveryPolicy.AttemptOutcome;

/**
 * Simulates a fleet of senders, each with its own instance of the decision module, on one clock. The limit of a modelled
 * destination applies to all senders together, and refused calls use it up too. Arrivals are random and of low rate, and limits
 * that answers report are old on arrival. One seed determines everything.
 */
final class FleetSimulation extends SimulatedTime {
    /** How a limit counts calls. Refused calls count too and are carried over. */
    enum LimitKind {
        /** At a constant rate, with a burst. */
        RATE,
        /** In fixed windows of time. */
        WINDOW
    }

    /** What a destination in an outage does with a call. */
    enum Outage {
        REFUSES_CONNECTIONS,
        ANSWERS_ERRORS,
        ANSWERS_FULL,
        HANGS
    }

    private static final double LATENCY_MS = 50;
    private static final double CONNECT_MS = 20;
    private static final double KEEP_ALIVE_MS = 15_000;
    /** Destinations refresh the limit that their answers report at this interval; on arrival it is older by the delay. */
    private static final double REPORT_INTERVAL_MS = 500;
    private static final double REPORT_DELAY_MS = 150;
    private static final double RATE_BURST_MS = 1000;
    private static final double WINDOW_MS = 1500;
    private static final long CLASS_DEADLINE_MS = 12_000;
    private static final DeliveryPolicy.MessageClass ORDER = new DeliveryPolicy.MessageClass(1000, CLASS_DEADLINE_MS, 1, 0.3,
            DeliveryPolicy.RepeatSafety.KEYED, false, 5000, false);

    /** A call that has reached a destination. */
    record Call(double at, int sender, boolean delivered) {
    }

    /** Distance between the endpoint numbers of one destination. */
    private static final long ENDPOINT_STRIDE = 1000;

    /** A destination, whose endpoints share its limit. */
    final class Destination {
        final long id;
        final LimitKind limitKind;
        double perSecond;
        boolean reportsLimit = true;
        boolean down;
        /** How it behaves while it is down. */
        Outage outage = Outage.REFUSES_CONNECTIONS;
        /** The share of calls that fail in an outage. */
        double failureShare = 1;
        int endpoints = 1;
        /** The most connections that it keeps open. Idle ones are closed after the keep-alive time. */
        int maxConnections = Integer.MAX_VALUE;
        /** Calls that were refused because all connections were in use. */
        long refusedConnections;
        /** When each sender's connection was last used. */
        private final Map<Integer, Double> connections = new HashMap<>();
        /** When it came back from an outage, at reduced capacity. */
        double recoveredAt = Double.NEGATIVE_INFINITY;
        final List<Call> calls = new ArrayList<>();
        long failedConnects;
        /** Senders that had a call fail or be refused here during an outage. */
        final Set<Integer> affectedSenders = new HashSet<>();
        private double used;
        private double usedAt;
        private double windowEnds;
        private final Deque<double[]> reports = new ArrayDeque<>();
        private double reportedShare = 1;
        private double reportedRate;

        private Destination(long id, LimitKind limitKind, double perSecond) {
            this.id = id;
            this.limitKind = limitKind;
            this.perSecond = perSecond;
            this.reportedRate = perSecond;
        }

        /** Returns the most calls that are admitted at once: the burst, or the calls of one window. */
        private double capacity() {
            return Math.max(1, perSecond * (limitKind == LimitKind.RATE ? RATE_BURST_MS : WINDOW_MS) / 1000);
        }

        private void refresh() {
            if (limitKind == LimitKind.RATE) {
                used = Math.max(0, used - (now - usedAt) * perSecond / 1000);
            } else {
                while (now >= windowEnds) {
                    used = Math.max(0, used - capacity());
                    windowEnds += WINDOW_MS;
                }
            }
            usedAt = now;
        }

        /** Returns the share of its full capacity that it has now, 0 to 1. */
        double warmShare() {
            return Math.min(1, 0.2 + 0.8 * (now - recoveredAt) / 12_000);
        }

        /** Returns whether the sender has a connection or can open one. */
        private boolean connects(int sender) {
            connections.values().removeIf(lastUsed -> lastUsed < now - KEEP_ALIVE_MS);
            if (!connections.containsKey(sender) && connections.size() >= maxConnections) {
                refusedConnections++;
                return false;
            }
            connections.put(sender, now);
            return true;
        }

        private boolean admits() {
            refresh();
            // Refused calls use up the limit too, to at most one window's calls beyond it.
            boolean free = used + 1 <= capacity();
            used = Math.min(used + 1, 2 * capacity());
            return free;
        }

        private void report() {
            refresh();
            reports.add(new double[] {now + REPORT_DELAY_MS, Math.max(0, 1 - used / capacity()), perSecond});
        }

        private DeliveryPolicy.LimitReport limitReport() {
            while (!reports.isEmpty() && reports.peek()[0] <= now) {
                double[] newest = reports.remove();
                reportedShare = newest[1];
                reportedRate = newest[2];
            }
            return reportsLimit
                    ? new DeliveryPolicy.LimitReport(reportedRate * (0.93 + 0.14 * random.nextDouble()), reportedShare)
                    : DeliveryPolicy.LimitReport.NOTHING;
        }

        long calls(double from, double to) {
            return calls.stream().filter(c -> c.at >= from && c.at < to).count();
        }

        long delivered(double from, double to) {
            return calls.stream().filter(c -> c.delivered && c.at >= from && c.at < to).count();
        }

        /** Counts the calls of senders that were affected by its outage. */
        long callsOfAffected(double from, double to) {
            return calls.stream().filter(c -> c.at >= from && c.at < to && affectedSenders.contains(c.sender)).count();
        }

        /** Returns the most calls in any interval of {@code spanMs} after {@code from}. */
        long busiest(double from, double spanMs) {
            Deque<Double> span = new ArrayDeque<>();
            int most = 0;
            for (Call c : calls) {
                if (c.at >= from) {
                    span.add(c.at);
                    while (span.peek() < c.at - spanMs) {
                        span.remove();
                    }
                    most = Math.max(most, span.size());
                }
            }
            return most;
        }
    }

    /** A sender process with its own instance of the decision module. */
    private final class Sender implements DeliveryPolicy.Actions {
        private final int number;
        private final DeliveryPolicy policy;
        private final Map<Long, DeliveryPolicy.Message> pending = new LinkedHashMap<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final Map<Long, List<DeliveryPolicy.PreviousAttempt>> earlier = new HashMap<>();
        private final Map<Long, DeliveryPolicy.SendRate> savedRates = new HashMap<>();
        private final Map<Long, DeliveryPolicy.Health> savedHealth = new HashMap<>();
        private final Map<String, Runnable> hanging = new HashMap<>();
        private final int fleetSize;
        private boolean alive = true;

        private Sender(int number, long seed, int fleetSize) {
            this.number = number;
            this.fleetSize = fleetSize;
            this.policy = DeliveryPolicy.create(new DeliveryPolicy.Settings(List.of(ORDER),
                    List.of(new DeliveryPolicy.Kind(false, 1)), true,
                    DeliveryPolicy.Decay.HALVING, List.of(), fleetSize, 8, 12, true, true, 500, KEEP_ALIVE_MS,
                    new DeliveryPolicy.ColdStart(0.2, 12_000, 2, 1500)), seed, this);
            List<DeliveryPolicy.Endpoint> list = new ArrayList<>();
            for (Destination d : destinations.values()) {
                for (int i = 0; i < d.endpoints; i++) {
                    list.add(new DeliveryPolicy.Endpoint(d.id + i * ENDPOINT_STRIDE, d.id, 0, 0, true, d.perSecond));
                }
            }
            policy.endpointsChanged(now, true, list);
            policy.endIteration(now);
        }

        private void accept(DeliveryPolicy.Message m) {
            pending.put(m.id(), m);
            policy.messageAccepted(now, m);
            policy.endIteration(now);
        }

        @Override
        public void send(long message, long endpoint, DeliveryPolicy.AttemptTiming timing) {
            int attempt = attempts.merge(message, 1, Integer::sum) - 1;
            earlier.computeIfAbsent(message, m -> new ArrayList<>()).add(new DeliveryPolicy.PreviousAttempt(endpoint, now, true));
            double sent = now;
            Destination d = destinations.get(endpoint % ENDPOINT_STRIDE);
            at(now + CONNECT_MS, () -> {
                if (d.down && (d.failureShare == 1 || random.nextDouble() < d.failureShare)) {
                    failInOutage(d, message, attempt, sent, timing);
                    return;
                }
                boolean delivered = d.connects(number) && d.admits();
                d.calls.add(new Call(now, number, delivered));
                at(now + LATENCY_MS, () -> end(message, attempt, delivered ? AttemptOutcome.DELIVERED : AttemptOutcome.FULL, sent,
                        d.limitReport()));
            });
        }

        private void failInOutage(Destination d, long message, int attempt, double sent, DeliveryPolicy.AttemptTiming timing) {
            switch (d.outage) {
                case REFUSES_CONNECTIONS -> {
                    d.failedConnects++;
                    endAffected(d, message, attempt, AttemptOutcome.UNREACHABLE, sent);
                }
                case ANSWERS_ERRORS -> at(now + LATENCY_MS, () -> endAffected(d, message, attempt, AttemptOutcome.ERROR, sent));
                case ANSWERS_FULL -> {
                    d.admits();
                    at(now + LATENCY_MS, () -> endAffected(d, message, attempt, AttemptOutcome.FULL, sent));
                }
                case HANGS -> {
                    Runnable cancelled = () -> endAffected(d, message, attempt, AttemptOutcome.CANCELLED, sent);
                    hanging.put(message + "/" + attempt, cancelled);
                    at(sent + timing.timeoutMs(), () -> {
                        if (hanging.remove(message + "/" + attempt) != null) {
                            endAffected(d, message, attempt, AttemptOutcome.TIMED_OUT, sent);
                        }
                    });
                }
                default -> throw new IllegalStateException();
            }
        }

        private void endAffected(Destination d, long message, int attempt, AttemptOutcome outcome, double sent) {
            if (d.down) {
                d.affectedSenders.add(number);
            }
            end(message, attempt, outcome, sent,
                    outcome == AttemptOutcome.FULL ? d.limitReport() : DeliveryPolicy.LimitReport.NOTHING);
        }

        private void end(long message, int attempt, AttemptOutcome outcome, double sent, DeliveryPolicy.LimitReport limitReport) {
            if (!alive) {
                return;
            }
            boolean finished = !pending.containsKey(message);
            if (outcome == AttemptOutcome.DELIVERED && !finished) {
                finish(message, true);
                finished = true;
            }
            policy.attemptEnded(now,
                    new DeliveryPolicy.AttemptEnd(message, attempt, outcome, now - sent, finished, 0, limitReport));
            policy.endIteration(now);
        }

        private void finish(long message, boolean delivered) {
            DeliveryPolicy.Message m = pending.remove(message);
            double age = now - acceptedAt.get(message);
            ends.add(new End(m.destination(), now, delivered ? age : Double.POSITIVE_INFINITY));
        }

        @Override
        public void cancel(long message, int attempt) {
            // Only hanging calls can be cancelled. All others run to their end.
            Optional.ofNullable(hanging.remove(message + "/" + attempt)).ifPresent(event -> at(now, event));
        }

        @Override
        public void closeIdle(long endpoint) {
            // The simulation does not model idle connections of a sender.
        }

        @Override
        public void refuse(long message, double waitMs) {
            finish(message, false);
        }

        @Override
        public void fail(long message) {
            finish(message, false);
        }

        @Override
        public void wakeAt(double time) {
            at(Math.max(time, now + 0.001), () -> {
                if (alive) {
                    policy.wake(now);
                    policy.endIteration(now);
                }
            });
        }

        @Override
        public void saveHealth(long endpoint, DeliveryPolicy.Health health) {
            savedHealth.put(endpoint, health);
        }

        @Override
        public void saveSendRate(long destination, long route, DeliveryPolicy.SendRate rate) {
            savedRates.put(destination, rate);
        }

        @Override
        public void log(String text) {
            // Not recorded.
        }
    }

    /** How a message ended; {@code age}: at its delivery in ms, infinite if it was not delivered. */
    record End(long destination, double at, double age) {
    }

    final Map<Long, Destination> destinations = new LinkedHashMap<>();
    final List<End> ends = new ArrayList<>();
    private final List<Sender> senders = new ArrayList<>();
    private final Map<Long, Double> acceptedAt = new HashMap<>();
    private final Random random;
    private final long seed;
    /** The relative share of the messages that each sender gets; empty if all get the same. */
    private double[] shares = new double[0];
    private final Set<Long> untried = new HashSet<>();
    private long messages;

    FleetSimulation(long seed) {
        this.seed = seed;
        this.random = new Random(seed);
    }

    Destination destination(LimitKind limitKind, double perSecond) {
        Destination d = new Destination(destinations.size() + 1, limitKind, perSecond);
        destinations.put(d.id, d);
        reportFrom(d, random.nextDouble() * REPORT_INTERVAL_MS);
        return d;
    }

    private void reportFrom(Destination d, double at) {
        at(at, () -> {
            d.report();
            reportFrom(d, now + REPORT_INTERVAL_MS);
        });
    }

    /** Adds senders whose settings give {@code fleetSize} as the size of the fleet. */
    FleetSimulation senders(int count, int fleetSize) {
        for (int i = 0; i < count; i++) {
            senders.add(new Sender(i, seed * 1000 + i, fleetSize));
        }
        return this;
    }

    /** Submits messages for this destination from all clients at a mean rate, each to a random running sender. */
    FleetSimulation offer(Destination d, double perSecond, double from, double until) {
        double next = from - Math.log(1 - random.nextDouble()) * 1000 / perSecond;
        if (next < until) {
            at(next, () -> {
                submit(d);
                offer(d, perSecond, now, until);
            });
        }
        return this;
    }

    /** Distributes the messages unevenly from now on: the first {@code count} senders get {@code times} the others' share. */
    FleetSimulation uneven(int count, double times) {
        shares = new double[senders.size()];
        for (int i = 0; i < shares.length; i++) {
            shares[i] = i < count ? times : 1;
        }
        return this;
    }

    /** Submits {@code count} messages for this destination at one moment. */
    FleetSimulation burst(Destination d, int count, double at) {
        at(at, () -> {
            for (int i = 0; i < count; i++) {
                submit(d);
            }
        });
        return this;
    }

    private void submit(Destination d) {
        long id = messages++;
        acceptedAt.put(id, now);
        randomSender().accept(new DeliveryPolicy.Message(id, 0, 0, Optional.empty(), CLASS_DEADLINE_MS, d.id));
    }

    private Sender randomSender() {
        List<Sender> running = senders.stream().filter(s -> s.alive).toList();
        if (shares.length == 0) {
            return running.get(random.nextInt(running.size()));
        }
        double at = random.nextDouble() * running.stream().mapToDouble(s -> shares[s.number]).sum();
        for (Sender s : running) {
            at -= shares[s.number];
            if (at < 0) {
                return s;
            }
        }
        return running.get(running.size() - 1);
    }

    /** Counts the messages that restarts found accepted but untried, with time left. */
    long restoredUntried() {
        return untried.size();
    }

    /** Counts how many of those were tried since. */
    long triedAfterRestore() {
        return untried.stream().filter(id -> senders.stream().anyMatch(s -> s.attempts.getOrDefault(id, 0) > 0)).count();
    }

    /** Kills a sender and starts it again {@code afterMs} later, with the pending messages, rates and health from its journal. */
    void restart(int number, double afterMs) {
        Sender killed = senders.get(number);
        killed.alive = false;
        at(now + afterMs, () -> {
            Sender next = new Sender(number, seed * 1000 + 500 + number, killed.fleetSize);
            next.savedRates.putAll(killed.savedRates);
            next.savedHealth.putAll(killed.savedHealth);
            killed.savedHealth.forEach((id, health) -> next.policy.healthRestored(now, id, health));
            killed.savedRates.forEach((id, rate) -> next.policy.sendRateRestored(now, id, DeliveryPolicy.ALL_ROUTES, rate));
            for (DeliveryPolicy.Message m : killed.pending.values()) {
                List<DeliveryPolicy.PreviousAttempt> earlier = killed.earlier.getOrDefault(m.id(), List.of());
                next.pending.put(m.id(), m);
                if (earlier.isEmpty() && now < acceptedAt.get(m.id()) + CLASS_DEADLINE_MS) {
                    untried.add(m.id());
                }
                next.attempts.put(m.id(), earlier.size());
                next.policy.messageRestored(now, new DeliveryPolicy.Message(m.id(), 0, 0, Optional.empty(),
                        Math.max(10, CLASS_DEADLINE_MS - (now - acceptedAt.get(m.id()))), m.destination()), earlier);
            }
            next.policy.endIteration(now);
            senders.set(number, next);
        });
    }

    /** Kills the first {@code count} senders for good, with their pending messages. */
    void kill(int count) {
        for (int i = 0; i < count; i++) {
            senders.get(i).alive = false;
        }
    }

    FleetSimulation until(double end) {
        pass(end);
        return this;
    }

    /** Returns the mean worth of the messages that ended in an interval. */
    double worth(double from, double to) {
        return ends.stream().filter(e -> e.at >= from && e.at < to).mapToDouble(e -> e.age == Double.POSITIVE_INFINITY ? 0
                : Math.max(ORDER.lateWorth(), Math.pow(0.5, Math.max(0, e.age - ORDER.aimMs()) / ORDER.aimMs())))
                .average().orElse(0);
    }

    /** Returns the share delivered at this age or earlier, of all messages that ended in an interval. */
    double shareWithin(double ageMs, double from, double to) {
        long all = ends.stream().filter(e -> e.at >= from && e.at < to).count();
        return (double) ends.stream().filter(e -> e.at >= from && e.at < to && e.age <= ageMs).count() / Math.max(1, all);
    }
}

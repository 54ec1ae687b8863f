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
 * Many instances of the module on one clock, against modelled destinations whose limits hold for all of them together and
 * where refused calls use the limit up. Arrivals are thin and drawn; what answers tell of a limit is old by then. All is
 * drawn from one seed.
 */
final class FleetBench extends SimulatedTime {
    /** How a limit counts: evenly with some burst, or in spans of time. A debt of refused calls is carried on. */
    enum Counts {
        RATE,
        WINDOW
    }

    /** What a destination that is out does with a call. */
    enum Outage {
        REFUSES_CONNECTIONS,
        ANSWERS_ERRORS,
        ANSWERS_FULL,
        HANGS
    }

    private static final double LATENCY_MS = 50;
    private static final double CONNECT_MS = 20;
    private static final double KEEP_ALIVE_MS = 15_000;
    /** What answers tell is refreshed so often, and is so much older on arrival. */
    private static final double REPORT_MS = 500;
    private static final double REPORT_DELAY_MS = 150;
    private static final double RATE_BURST_MS = 1000;
    private static final double WINDOW_MS = 1500;
    private static final long CLASS_DEADLINE_MS = 12_000;
    private static final DeliveryPolicy.MessageClass ORDER = new DeliveryPolicy.MessageClass(1000, CLASS_DEADLINE_MS, 1, 0.3,
            DeliveryPolicy.RepeatSafety.KEYED, false, 5000, false);

    /** A call that has reached a destination. */
    record Call(double at, int sender, boolean delivered) {
    }

    /** Endpoint numbers of one destination are so far apart. */
    private static final long ENDPOINT_STRIDE = 1000;

    /** One destination; its endpoints share its limit. */
    final class Destination {
        final long id;
        final Counts counts;
        double perSecond;
        boolean tells = true;
        boolean down;
        /** While it is down. */
        Outage outage = Outage.REFUSES_CONNECTIONS;
        /** The share of calls that an outage strikes. */
        double struck = 1;
        int endpoints = 1;
        /** Connections that it holds at most; one that was not used for the settings' time is closed. */
        int mostConnections = Integer.MAX_VALUE;
        /** Turned away as all connections were taken. */
        long crowded;
        /** When each sender's connection was last used. */
        private final Map<Integer, Double> connections = new HashMap<>();
        /** Back from an outage since then, cold. */
        double coldSince = Double.NEGATIVE_INFINITY;
        final List<Call> calls = new ArrayList<>();
        long refusedConnects;
        /** Senders that have seen a call fail or be refused here in an outage. */
        final Set<Integer> met = new HashSet<>();
        private double used;
        private double usedAt;
        private double windowEnds;
        private final Deque<double[]> told = new ArrayDeque<>();
        private double leftTold = 1;
        private double rateTold;

        private Destination(long id, Counts counts, double perSecond) {
            this.id = id;
            this.counts = counts;
            this.perSecond = perSecond;
            this.rateTold = perSecond;
        }

        /** The most that is taken at once: the burst, or a span's worth. */
        private double most() {
            return Math.max(1, perSecond * (counts == Counts.RATE ? RATE_BURST_MS : WINDOW_MS) / 1000);
        }

        private void refresh() {
            if (counts == Counts.RATE) {
                used = Math.max(0, used - (now - usedAt) * perSecond / 1000);
            } else {
                while (now >= windowEnds) {
                    used = Math.max(0, used - most());
                    windowEnds += WINDOW_MS;
                }
            }
            usedAt = now;
        }

        /** The share of warm capacity that it has. */
        double warmth() {
            return Math.min(1, 0.2 + 0.8 * (now - coldSince) / 12_000);
        }

        /** Whether the sender has a connection, or finds room for one. */
        private boolean connects(int sender) {
            connections.values().removeIf(used -> used < now - KEEP_ALIVE_MS);
            if (!connections.containsKey(sender) && connections.size() >= mostConnections) {
                crowded++;
                return false;
            }
            connections.put(sender, now);
            return true;
        }

        private boolean takes() {
            refresh();
            // What is refused uses the limit up too, to a span's worth of debt at most.
            boolean free = used + 1 <= most();
            used = Math.min(used + 1, 2 * most());
            return free;
        }

        private void report() {
            refresh();
            told.add(new double[] {now + REPORT_DELAY_MS, Math.max(0, 1 - used / most()), perSecond});
        }

        private DeliveryPolicy.LimitReport tells() {
            while (!told.isEmpty() && told.peek()[0] <= now) {
                double[] newest = told.remove();
                leftTold = newest[1];
                rateTold = newest[2];
            }
            return tells ? new DeliveryPolicy.LimitReport(rateTold * (0.93 + 0.14 * random.nextDouble()), leftTold)
                    : DeliveryPolicy.LimitReport.NOTHING;
        }

        long calls(double from, double to) {
            return calls.stream().filter(c -> c.at >= from && c.at < to).count();
        }

        long delivered(double from, double to) {
            return calls.stream().filter(c -> c.delivered && c.at >= from && c.at < to).count();
        }

        /** The same, of senders that have met its outage. */
        long callsOfMet(double from, double to) {
            return calls.stream().filter(c -> c.at >= from && c.at < to && met.contains(c.sender)).count();
        }

        /** The most calls in any span of so long from then on. */
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

    /** One sender with its own instance, until it is killed. */
    private final class Sender implements DeliveryPolicy.Actions {
        private final int number;
        private final DeliveryPolicy policy;
        private final Map<Long, DeliveryPolicy.Message> held = new LinkedHashMap<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final Map<Long, List<DeliveryPolicy.PreviousAttempt>> earlier = new HashMap<>();
        private final Map<Long, DeliveryPolicy.SendRate> paces = new HashMap<>();
        private final Map<Long, DeliveryPolicy.Health> healths = new HashMap<>();
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

        private void take(DeliveryPolicy.Message m) {
            held.put(m.id(), m);
            policy.messageAccepted(now, m);
            policy.endIteration(now);
        }

        @Override
        public void send(long message, long endpoint, DeliveryPolicy.AttemptTiming within) {
            int attempt = attempts.merge(message, 1, Integer::sum) - 1;
            earlier.computeIfAbsent(message, m -> new ArrayList<>()).add(new DeliveryPolicy.PreviousAttempt(endpoint, now, true));
            double sent = now;
            Destination d = destinations.get(endpoint % ENDPOINT_STRIDE);
            at(now + CONNECT_MS, () -> {
                if (d.down && (d.struck == 1 || random.nextDouble() < d.struck)) {
                    strike(d, message, attempt, sent, within);
                    return;
                }
                boolean delivered = d.connects(number) && d.takes();
                d.calls.add(new Call(now, number, delivered));
                at(now + LATENCY_MS, () -> end(message, attempt, delivered ? AttemptOutcome.DELIVERED : AttemptOutcome.FULL, sent,
                        d.tells()));
            });
        }

        private void strike(Destination d, long message, int attempt, double sent, DeliveryPolicy.AttemptTiming within) {
            switch (d.outage) {
                case REFUSES_CONNECTIONS -> {
                    d.refusedConnects++;
                    meet(d, message, attempt, AttemptOutcome.UNREACHABLE, sent);
                }
                case ANSWERS_ERRORS -> at(now + LATENCY_MS, () -> meet(d, message, attempt, AttemptOutcome.ERROR, sent));
                case ANSWERS_FULL -> {
                    d.takes();
                    at(now + LATENCY_MS, () -> meet(d, message, attempt, AttemptOutcome.FULL, sent));
                }
                case HANGS -> {
                    Runnable cancelled = () -> meet(d, message, attempt, AttemptOutcome.CANCELLED, sent);
                    hanging.put(message + "/" + attempt, cancelled);
                    at(sent + within.timeoutMs(), () -> {
                        if (hanging.remove(message + "/" + attempt) != null) {
                            meet(d, message, attempt, AttemptOutcome.TIMED_OUT, sent);
                        }
                    });
                }
                default -> throw new IllegalStateException();
            }
        }

        private void meet(Destination d, long message, int attempt, AttemptOutcome outcome, double sent) {
            if (d.down) {
                d.met.add(number);
            }
            end(message, attempt, outcome, sent, outcome == AttemptOutcome.FULL ? d.tells() : DeliveryPolicy.LimitReport.NOTHING);
        }

        private void end(long message, int attempt, AttemptOutcome outcome, double sent, DeliveryPolicy.LimitReport told) {
            if (!alive) {
                return;
            }
            boolean finished = !held.containsKey(message);
            if (outcome == AttemptOutcome.DELIVERED && !finished) {
                over(message, true);
                finished = true;
            }
            policy.attemptEnded(now, new DeliveryPolicy.AttemptEnd(message, attempt, outcome, now - sent, finished, 0, told));
            policy.endIteration(now);
        }

        private void over(long message, boolean delivered) {
            DeliveryPolicy.Message m = held.remove(message);
            double age = now - takenAt.get(message);
            ends.add(new End(m.destination(), now, delivered ? age : Double.POSITIVE_INFINITY));
        }

        @Override
        public void cancel(long message, int attempt) {
            // The model's other calls run on, and their ends come as they are.
            Optional.ofNullable(hanging.remove(message + "/" + attempt)).ifPresent(ends -> at(now, ends));
        }

        @Override
        public void closeIdle(long endpoint) {
            // Connections are not modelled.
        }

        @Override
        public void refuse(long message, double waitMs) {
            over(message, false);
        }

        @Override
        public void fail(long message) {
            over(message, false);
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
            healths.put(endpoint, health);
        }

        @Override
        public void saveSendRate(long destination, long route, DeliveryPolicy.SendRate pace) {
            paces.put(destination, pace);
        }

        @Override
        public void log(String text) {
            // Nothing here reads them.
        }
    }

    /** How a message ended: its age when delivered, endless if it was not. */
    record End(long destination, double at, double age) {
    }

    final Map<Long, Destination> destinations = new LinkedHashMap<>();
    final List<End> ends = new ArrayList<>();
    private final List<Sender> senders = new ArrayList<>();
    private final Map<Long, Double> takenAt = new HashMap<>();
    private final Random random;
    private final long seed;
    /** Of the messages, by sender; none where all have the same share. */
    private double[] shares = new double[0];
    private final Set<Long> untried = new HashSet<>();
    private long messages;

    FleetBench(long seed) {
        this.seed = seed;
        this.random = new Random(seed);
    }

    Destination destination(Counts counts, double perSecond) {
        Destination d = new Destination(destinations.size() + 1, counts, perSecond);
        destinations.put(d.id, d);
        reportFrom(d, random.nextDouble() * REPORT_MS);
        return d;
    }

    private void reportFrom(Destination d, double at) {
        at(at, () -> {
            d.report();
            reportFrom(d, now + REPORT_MS);
        });
    }

    /** So many senders, whose settings say that there are {@code fleetSize}. */
    FleetBench senders(int many, int fleetSize) {
        for (int i = 0; i < many; i++) {
            senders.add(new Sender(i, seed * 1000 + i, fleetSize));
        }
        return this;
    }

    /** Messages for this destination at so many a second from all clients, each to a sender that lives, until then. */
    FleetBench offer(Destination d, double perSecond, double from, double until) {
        double next = from - Math.log(1 - random.nextDouble()) * 1000 / perSecond;
        if (next < until) {
            at(next, () -> {
                handIn(d);
                offer(d, perSecond, now, until);
            });
        }
        return this;
    }

    /** From now on senders see uneven shares of the messages: the first so many see so many times what others do. */
    FleetBench uneven(int many, double times) {
        shares = new double[senders.size()];
        for (int i = 0; i < shares.length; i++) {
            shares[i] = i < many ? times : 1;
        }
        return this;
    }

    /** So many messages for it in this moment. */
    FleetBench clump(Destination d, int many, double at) {
        at(at, () -> {
            for (int i = 0; i < many; i++) {
                handIn(d);
            }
        });
        return this;
    }

    private void handIn(Destination d) {
        long id = messages++;
        takenAt.put(id, now);
        drawn().take(new DeliveryPolicy.Message(id, 0, 0, Optional.empty(), CLASS_DEADLINE_MS, d.id));
    }

    private Sender drawn() {
        List<Sender> living = senders.stream().filter(s -> s.alive).toList();
        if (shares.length == 0) {
            return living.get(random.nextInt(living.size()));
        }
        double at = random.nextDouble() * living.stream().mapToDouble(s -> shares[s.number]).sum();
        for (Sender s : living) {
            at -= shares[s.number];
            if (at < 0) {
                return s;
            }
        }
        return living.get(living.size() - 1);
    }

    /** What restarts found taken on and untried, with time left. */
    long foundUntried() {
        return untried.size();
    }

    /** So many of those were tried since. */
    long triedSince() {
        return untried.stream().filter(id -> senders.stream().anyMatch(s -> s.attempts.getOrDefault(id, 0) > 0)).count();
    }

    /** A sender is killed, and comes back after so long with its journal: what it held, and what it remembered. */
    void restart(int number, double afterMs) {
        Sender dead = senders.get(number);
        dead.alive = false;
        at(now + afterMs, () -> {
            Sender next = new Sender(number, seed * 1000 + 500 + number, dead.fleetSize);
            next.paces.putAll(dead.paces);
            next.healths.putAll(dead.healths);
            dead.healths.forEach((id, health) -> next.policy.healthRestored(now, id, health));
            dead.paces.forEach((id, pace) -> next.policy.sendRateRestored(now, id, DeliveryPolicy.ALL_ROUTES, pace));
            for (DeliveryPolicy.Message m : dead.held.values()) {
                List<DeliveryPolicy.PreviousAttempt> earlier = dead.earlier.getOrDefault(m.id(), List.of());
                next.held.put(m.id(), m);
                if (earlier.isEmpty() && now < takenAt.get(m.id()) + CLASS_DEADLINE_MS) {
                    untried.add(m.id());
                }
                next.attempts.put(m.id(), earlier.size());
                next.policy.messageRestored(now, new DeliveryPolicy.Message(m.id(), 0, 0, Optional.empty(),
                        Math.max(10, CLASS_DEADLINE_MS - (now - takenAt.get(m.id()))), m.destination()), earlier);
            }
            next.policy.endIteration(now);
            senders.set(number, next);
        });
    }

    /** The first so many senders die; what they held is not seen again. */
    void kill(int many) {
        for (int i = 0; i < many; i++) {
            senders.get(i).alive = false;
        }
    }

    FleetBench until(double end) {
        pass(end);
        return this;
    }

    /** The mean worth of what ended in the span. */
    double worth(double from, double to) {
        return ends.stream().filter(e -> e.at >= from && e.at < to).mapToDouble(e -> e.age == Double.POSITIVE_INFINITY ? 0
                : Math.max(ORDER.lateWorth(), Math.pow(0.5, Math.max(0, e.age - ORDER.aimMs()) / ORDER.aimMs())))
                .average().orElse(0);
    }

    /** Delivered within this age, as a share of all that ended in the span. */
    double inTime(double ageMs, double from, double to) {
        long all = ends.stream().filter(e -> e.at >= from && e.at < to).count();
        return (double) ends.stream().filter(e -> e.at >= from && e.at < to && e.age <= ageMs).count() / Math.max(1, all);
    }
}

package slipfield.standin;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * What really became of each order: what its desk heard, what venues did, what the platform was told. The verdict on
 * a sender is read from here, and from nothing that the sender says of itself. Threads of all stand-ins write to it.
 */
public final class Ledger {
    /** What may be done with an order again. */
    public enum Effect {
        /** Venues drop a repeat of its key for a time. */
        KEYED,
        /** It must not run twice. */
        ONCE
    }

    /** What a desk has heard of its hand-in. */
    enum Heard {
        /** Nothing: it broke, or was never answered; the sender may hold it. */
        NOTHING,
        TAKEN,
        TURNED_AWAY
    }

    /** One order, under the id of its hand-in; guarded by itself. */
    static final class Order {
        private final String id;
        private final Effect effect;
        private final int sender;
        private final Instant handedInAt = Instant.now();
        private Instant heardAt = Instant.EPOCH;
        private final long sentNanos = System.nanoTime();
        private final long budgetNanos;
        private Heard heard = Heard.NOTHING;
        private int runs;
        private long firstRunNanos;
        private boolean ranPastWindow;
        private boolean refused;
        private boolean failed;
        private boolean ended;

        Order(String id, Effect effect, long budgetMs, int sender) {
            this.id = id;
            this.effect = effect;
            this.sender = sender;
            this.budgetNanos = TimeUnit.MILLISECONDS.toNanos(budgetMs);
        }

        synchronized boolean isOpen() {
            return heard == Heard.TAKEN && !ended;
        }

        private synchronized MissingOrder missing() {
            return new MissingOrder(id, sender, handedInAt, heardAt, runs);
        }
    }

    /**
     * An order that was taken and has no end, so that it can be found in logs and journals.
     *
     * @param id the id of its hand-in
     * @param sender the number of the sender that it was handed in to; -1: not known
     * @param handedInAt when it was handed in, by the wall clock
     * @param heardAt when its desk heard that it is taken
     * @param runs how often a venue had it
     */
    public record MissingOrder(String id, int sender, Instant handedInAt, Instant heardAt, int runs) {
    }

    /**
     * The account of all orders.
     *
     * @param handedIn all orders
     * @param taken their desk heard 202
     * @param turnedAway their desk heard a refusal
     * @param unheard their desk heard nothing, as the sender was away; each may have run or not
     * @param delivered taken, and a venue answered 200, and no notice says otherwise
     * @param refused taken, and given back by a notice
     * @param failed taken, and given up by a notice
     * @param lost taken, and without an end
     * @param doubled ran twice against their class, or given back or turned away though they had run
     * @param repeats runs that venues dropped by their key
     * @param missing the lost ones, in the order of their hand-in
     */
    public record Account(long handedIn, long taken, long turnedAway, long unheard, long delivered, long refused,
            long failed, long lost, long doubled, long repeats, List<MissingOrder> missing) {
        /** The same where no order is missing. */
        public Account(long handedIn, long taken, long turnedAway, long unheard, long delivered, long refused, long failed,
                long lost, long doubled, long repeats) {
            this(handedIn, taken, turnedAway, unheard, delivered, refused, failed, lost, doubled, repeats, List.of());
        }

        /** Whether every order that was taken has exactly one end, and none ran against its class. */
        public boolean holds() {
            return lost == 0 && doubled == 0 && taken == delivered + refused + failed;
        }
    }

    private final long windowNanos;
    private final Map<String, Order> orders = new ConcurrentHashMap<>();
    /** When what nobody handed in here ran, by its key: the orders of clients that make their own ids. */
    private final Map<String, List<Long>> keys = new ConcurrentHashMap<>();
    private final Recorder latency = new Recorder(TimeUnit.SECONDS.toMicros(120), 3);
    private final Histogram whole = new Histogram(TimeUnit.SECONDS.toMicros(120), 3);
    private final AtomicLong delivered = new AtomicLong();
    private final AtomicLong latestNanos = new AtomicLong(Long.MIN_VALUE);
    private volatile Consumer<String> ended = id -> { };

    private final Witness witness;

    /** {@code windowMs}: for so long venues drop a repeat of a key. */
    public Ledger(long windowMs) {
        this(windowMs, Witness.NOBODY);
    }

    /** The same, and tells {@code witness} of all that it is told. */
    public Ledger(long windowMs, Witness witness) {
        windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMs);
        this.witness = witness;
    }

    /** Who is told of what is seen. */
    Witness witness() {
        return witness;
    }

    /** Tells of each order's first end: delivered, or told to the platform; on the thread that saw it. */
    void onEnd(Consumer<String> told) {
        ended = told;
    }

    /** An order that has so long from now on. */
    void handedIn(String id, Effect effect, long budgetMs) {
        handedIn(id, effect, budgetMs, -1);
    }

    /** The same, handed in to the sender of this number. */
    void handedIn(String id, Effect effect, long budgetMs, int sender) {
        orders.put(id, new Order(id, effect, budgetMs, sender));
        witness.saw(Witness.What.HANDED_IN, id, sender, -1, budgetMs);
        if (effect == Effect.ONCE) {
            witness.saw(Witness.What.MUST_NOT_REPEAT, id, sender, -1, -1);
        }
    }

    void heard(String id, boolean taken) {
        Order order = orders.get(id);
        synchronized (order) {
            order.heard = taken ? Heard.TAKEN : Heard.TURNED_AWAY;
            order.heardAt = Instant.now();
        }
        witness.saw(taken ? Witness.What.HEARD_TAKEN : Witness.What.HEARD_REFUSED, id, -1, -1, -1);
    }

    /** The desk's request was read, and its connection ended without an answer. */
    void unanswered(String id, int sender) {
        witness.saw(Witness.What.UNANSWERED, id, sender, -1, -1);
    }

    /** The machine is lost that held what was handed in under ids that begin so: nobody is owed the ends that are missing. */
    void excuse(String idsBegin) {
        for (Order order : orders.values()) {
            synchronized (order) {
                if (!order.id.startsWith(idsBegin) || order.ended) {
                    continue;
                }
                order.heard = Heard.NOTHING;
            }
            witness.saw(Witness.What.EXCUSED, order.id, -1, -1, -1);
        }
    }

    boolean hasEnded(String id) {
        Order order = orders.get(id);
        synchronized (order) {
            return order.ended;
        }
    }

    /** A venue runs what was not handed in here. */
    void ran(String key) {
        keys.computeIfAbsent(key, k -> new CopyOnWriteArrayList<>()).add(System.nanoTime());
    }

    /** When an order of this key ran, of those that were not handed in here, by {@link System#nanoTime}. */
    public List<Long> runs(String key) {
        return keys.getOrDefault(key, List.of());
    }

    /** The same, of a venue and from a sender by their numbers. */
    boolean run(String id, String key, int sender, int venue) {
        Order order = orders.get(id);
        boolean first = run(id, key);
        if (order != null) {
            witness.saw(first ? Witness.What.RUN : Witness.What.REPEAT, id, sender, venue, order.effect == Effect.ONCE ? 1 : 0);
        }
        return first;
    }

    /** A venue has an order; false: its key was here within the window, and it is not run again. */
    boolean run(String id, String key) {
        Order order = orders.get(id);
        if (order == null) {
            ran(key);
            return false;
        }
        boolean first;
        synchronized (order) {
            long now = System.nanoTime();
            first = order.runs++ == 0;
            if (first) {
                order.firstRunNanos = now;
            } else if (now - order.firstRunNanos > windowNanos) {
                order.ranPastWindow = true;
            }
        }
        return first;
    }

    /** A venue's 200 for this order is written. */
    void delivered(String id) {
        Order order = orders.get(id);
        if (order == null) {
            return;
        }
        witness.saw(Witness.What.ANSWERED, id, -1, -1, -1);
        if (end(order)) {
            delivered.incrementAndGet();
            latency.recordValue(Math.min(TimeUnit.SECONDS.toMicros(120),
                    TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - order.sentNanos)));
        }
    }

    /** The platform was told of this order's end. */
    void noticed(String id, boolean refused) {
        Order order = orders.get(id);
        if (order == null) {
            return;
        }
        witness.saw(refused ? Witness.What.TOLD_REFUSED : Witness.What.TOLD_FAILED, id, -1, -1, -1);
        synchronized (order) {
            order.refused |= refused;
            order.failed |= !refused;
        }
        end(order);
    }

    private boolean end(Order order) {
        synchronized (order) {
            if (order.ended) {
                return false;
            }
            order.ended = true;
            latestNanos.accumulateAndGet(System.nanoTime() - order.sentNanos - order.budgetNanos, Math::max);
        }
        ended.accept(order.id);
        return true;
    }

    /** Orders delivered so far. */
    public long deliveredSoFar() {
        return delivered.get();
    }

    /** By how many milliseconds the end that came latest by its order's time came after it; below 0: all were in time. */
    public long latestMs() {
        return TimeUnit.NANOSECONDS.toMillis(latestNanos.get());
    }

    /** Microseconds from hand-in to a venue's 200, of all so far. */
    public synchronized Histogram latency() {
        whole.add(latency.getIntervalHistogram());
        return whole.copy();
    }

    /** Forgets the latencies so far: what came before was warming up. */
    public synchronized void forgetLatency() {
        latency.reset();
        whole.reset();
    }

    /** Taken, without an end, and past their time. */
    public long overdue() {
        long now = System.nanoTime();
        return orders.values().stream().filter(o -> now - o.sentNanos > o.budgetNanos && o.isOpen()).count();
    }

    /** Whether none is taken and without an end. */
    public boolean allEnded() {
        return account().lost() == 0;
    }

    /** The account now. */
    public Account account() {
        Collection<Order> all = orders.values();
        long[] n = new long[10];
        for (Order order : all) {
            synchronized (order) {
                count(order, n);
            }
        }
        List<MissingOrder> missing = all.stream().filter(Order::isOpen).map(Order::missing)
                .sorted(Comparator.comparing(MissingOrder::handedInAt)).toList();
        return new Account(n[0], n[1], n[2], n[3], n[4], n[5], n[6], n[7], n[8], n[9], missing);
    }

    private static void count(Order order, long[] n) {
        n[0]++;
        boolean taken = order.heard == Heard.TAKEN;
        n[order.heard == Heard.TAKEN ? 1 : order.heard == Heard.TURNED_AWAY ? 2 : 3]++;
        if (taken) {
            n[order.refused ? 5 : order.failed ? 6 : order.ended ? 4 : 7]++;
        }
        boolean twice = order.runs > 1 && (order.effect == Effect.ONCE || order.ranPastWindow);
        // Whoever heeds such a refusal hands in again what has run.
        boolean givenBackThoughRun = (order.refused || order.heard == Heard.TURNED_AWAY) && order.runs > 0;
        n[8] += twice || givenBackThoughRun ? 1 : 0;
        n[9] += order.effect == Effect.KEYED ? Math.max(0, order.runs - 1) : 0;
    }
}

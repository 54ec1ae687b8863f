package slipfield.amqp.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A channel's deliveries that are not settled, and who may have another. A consumer may have as many as its own prefetch
 * allows, all of the channel together as many as the channel's does: {@code basic.qos}, read as brokers do, where a count
 * that is not global holds for each consumer that comes after it, and a global one for the channel.
 *
 * @param <T> what a delivery is to whoever made it
 */
public final class UnackedDeliveries<T> {
    /** A delivery that was settled, or can be no more. */
    public record Delivery<T>(long tag, String consumer, T payload, double sentMs) {
    }

    private static final class Consumer {
        private final int most;
        private int out;

        private Consumer(int most) {
            this.most = most;
        }
    }

    private final int mostEach;
    private final NavigableMap<Long, Delivery<T>> out = new TreeMap<>();
    private final Map<String, Consumer> consumers = new HashMap<>();
    private int prefetch;
    private int shared;
    private boolean flowing = true;
    private long last;

    /** {@code mostEach}: of one consumer, where it sets no count of its own, or a higher one. */
    public UnackedDeliveries(int mostEach) {
        this.mostEach = mostEach;
        this.prefetch = mostEach;
        this.shared = Integer.MAX_VALUE;
    }

    /** {@code basic.qos}; 0: as many as the operator allows. */
    public void qos(int count, boolean global) {
        if (global) {
            shared = count == 0 ? Integer.MAX_VALUE : count;
        } else {
            prefetch = count == 0 ? mostEach : Math.min(count, mostEach);
        }
    }

    /** {@code channel.flow}: whether deliveries are wanted at all. */
    public void flow(boolean active) {
        flowing = active;
    }

    /** A consumer came; false: there is one of this tag. */
    public boolean addConsumer(String consumer) {
        return consumers.putIfAbsent(consumer, new Consumer(prefetch)) == null;
    }

    /** A consumer was cancelled; what it has out can still be settled. */
    public boolean removeConsumer(String consumer) {
        return consumers.remove(consumer) != null;
    }

    /** The tags of its consumers. */
    public List<String> consumers() {
        return List.copyOf(consumers.keySet());
    }

    /** How many deliveries a consumer may have out at once: its slots. */
    public int prefetchLimit(String consumer) {
        Consumer of = consumers.get(consumer);
        return of == null ? 0 : Math.min(of.most, shared);
    }

    /** Whether a consumer may have one more. */
    public boolean canDeliver(String consumer) {
        Consumer of = consumers.get(consumer);
        return flowing && of != null && of.out < of.most && out.size() < shared;
    }

    /** One goes out to a consumer that has room; its tag, from 1. */
    public long deliver(String consumer, T what, double now) {
        if (!canDeliver(consumer)) {
            throw new IllegalStateException("no room at " + consumer);
        }
        consumers.get(consumer).out++;
        out.put(++last, new Delivery<>(last, consumer, what, now));
        return last;
    }

    /**
     * What an ack, nack or reject settles, the oldest first; with {@code multiple} all up to the tag, and with tag 0 all.
     *
     * @return absent if it names none that is out: the specification's error 406
     */
    public Optional<List<Delivery<T>>> settle(long tag, boolean multiple) {
        NavigableMap<Long, Delivery<T>> settled = !multiple ? out.subMap(tag, true, tag, true)
                : tag == 0 ? out : out.headMap(tag, true);
        if (settled.isEmpty() && !(multiple && tag == 0) || tag > last) {
            return Optional.empty();
        }
        List<Delivery<T>> all = new ArrayList<>(settled.values());
        settled.clear();
        all.forEach(one -> {
            Consumer of = consumers.get(one.consumer);
            if (of != null) {
                of.out--;
            }
        });
        return Optional.of(all);
    }

    /** Since when the oldest is out; absent: none is. */
    public Optional<Double> oldestSentMs() {
        return out.isEmpty() ? Optional.empty() : Optional.of(out.firstEntry().getValue().sentMs);
    }

    /** How many are out. */
    public int count() {
        return out.size();
    }
}

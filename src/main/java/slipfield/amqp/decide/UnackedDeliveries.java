package slipfield.amqp.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The unsettled deliveries of a channel, and the prefetch limits on them. A consumer's limit is its own prefetch count, and
 * all consumers of the channel share the channel's. {@code basic.qos} is interpreted as brokers do: a count that is not
 * global applies to each consumer added after it, a global one to the whole channel.
 *
 * @param <T> the caller's object for a delivery
 */
public final class UnackedDeliveries<T> {
    /** A delivery that is not settled, or that a call of {@link #settle} returns. {@code sentMs}: when it was sent. */
    public record Delivery<T>(long tag, String consumer, T payload, double sentMs) {
    }

    private static final class Consumer {
        private final int limit;
        private int unsettled;

        private Consumer(int limit) {
            this.limit = limit;
        }
    }

    private final int maxPerConsumer;
    private final NavigableMap<Long, Delivery<T>> unsettled = new TreeMap<>();
    private final Map<String, Consumer> consumers = new HashMap<>();
    private int prefetch;
    private int channelLimit;
    private boolean flowing = true;
    private long lastTag;

    /** {@code maxPerConsumer}: the operator's limit for one consumer, used if it sets no prefetch count or a higher one. */
    public UnackedDeliveries(int maxPerConsumer) {
        this.maxPerConsumer = maxPerConsumer;
        this.prefetch = maxPerConsumer;
        this.channelLimit = Integer.MAX_VALUE;
    }

    /** {@code basic.qos}; 0: as many as the operator's limit allows. */
    public void qos(int count, boolean global) {
        if (global) {
            channelLimit = count == 0 ? Integer.MAX_VALUE : count;
        } else {
            prefetch = count == 0 ? maxPerConsumer : Math.min(count, maxPerConsumer);
        }
    }

    /** {@code channel.flow}: whether the peer wants deliveries at all. */
    public void flow(boolean active) {
        flowing = active;
    }

    /** Adds a consumer; false if there is one with this tag already. */
    public boolean addConsumer(String consumer) {
        return consumers.putIfAbsent(consumer, new Consumer(prefetch)) == null;
    }

    /** Removes a cancelled consumer; its deliveries can still be settled. Returns false if there is none with this tag. */
    public boolean removeConsumer(String consumer) {
        return consumers.remove(consumer) != null;
    }

    /** The tags of the channel's consumers. */
    public List<String> consumers() {
        return List.copyOf(consumers.keySet());
    }

    /** How many unsettled deliveries a consumer may have; 0 if there is none with this tag. */
    public int prefetchLimit(String consumer) {
        Consumer of = consumers.get(consumer);
        return of == null ? 0 : Math.min(of.limit, channelLimit);
    }

    /** Whether a consumer may get one more delivery now. */
    public boolean canDeliver(String consumer) {
        Consumer of = consumers.get(consumer);
        return flowing && of != null && of.unsettled < of.limit && unsettled.size() < channelLimit;
    }

    /** Adds a delivery to a consumer that {@link #canDeliver} allows; returns its tag, counting from 1. */
    public long deliver(String consumer, T payload, double now) {
        if (!canDeliver(consumer)) {
            throw new IllegalStateException("no further delivery is allowed to " + consumer);
        }
        consumers.get(consumer).unsettled++;
        unsettled.put(++lastTag, new Delivery<>(lastTag, consumer, payload, now));
        return lastTag;
    }

    /**
     * Settles the deliveries that an ack, nack or reject refers to, and returns them, oldest first. With {@code multiple}
     * these are all up to the tag, and all there are for tag 0. Empty if the tag refers to no unsettled delivery, which is
     * the specification's error 406.
     */
    public Optional<List<Delivery<T>>> settle(long tag, boolean multiple) {
        NavigableMap<Long, Delivery<T>> settled = !multiple ? unsettled.subMap(tag, true, tag, true)
                : tag == 0 ? unsettled : unsettled.headMap(tag, true);
        if (settled.isEmpty() && !(multiple && tag == 0) || tag > lastTag) {
            return Optional.empty();
        }
        List<Delivery<T>> all = new ArrayList<>(settled.values());
        settled.clear();
        all.forEach(one -> {
            Consumer of = consumers.get(one.consumer);
            if (of != null) {
                of.unsettled--;
            }
        });
        return Optional.of(all);
    }

    /** When the oldest unsettled delivery was sent; empty if there is none. */
    public Optional<Double> oldestSentMs() {
        return unsettled.isEmpty() ? Optional.empty() : Optional.of(unsettled.firstEntry().getValue().sentMs);
    }

    /** Number of unsettled deliveries. */
    public int count() {
        return unsettled.size();
    }
}

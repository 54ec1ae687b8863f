package slipfield.amqp.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Presents the consumers of queues as endpoints of their destinations. A consumer that leaves is out of service at once and
 * is remembered for a while: if it returns under the same name it is the same endpoint, with the health known of it. So a
 * consumer that failed and returns gets no more load than any recovering endpoint.
 *
 * <p>Only the consumers with the highest priority of a queue are in service; the others stand by until all of those have
 * left. Priority does not divide the load: the delivery policy distributes messages among the endpoints in service.
 */
public final class ConsumerRegistry {
    /**
     * A change of the endpoint list.
     *
     * @param name of the endpoint: queue, user and consumer tag
     * @param removed whether the endpoint is to be removed from the list
     */
    public record EndpointUpdate(String name, String queue, boolean inService, boolean removed) {
    }

    private record KnownConsumer(String queue, boolean present, boolean exclusive, int priority, boolean inService,
            double leftMs) {
    }

    private final double retentionMs;
    private final Map<String, KnownConsumer> known = new LinkedHashMap<>();
    private final Map<String, Integer> presentByQueue = new HashMap<>();

    /** {@code retentionMs}: how long a consumer is remembered after it left, in milliseconds. */
    public ConsumerRegistry(double retentionMs) {
        this.retentionMs = retentionMs;
    }

    /** The name of a consumer's endpoint. It is the same after a restart of the consumer if the consumer chooses its tag. */
    public static String endpointName(String queue, String user, String tag) {
        return queue + "/" + user + "/" + tag;
    }

    /** Whether a consumer may be added: an exclusive one must be the only one of its queue, and names must be unique. */
    public boolean canAdd(String name, String queue, boolean exclusive) {
        if (exclusive && presentByQueue.getOrDefault(queue, 0) > 0) {
            return false;
        }
        for (Map.Entry<String, KnownConsumer> k : known.entrySet()) {
            boolean sameQueue = k.getValue().present && k.getValue().queue.equals(queue);
            if (sameQueue && (k.getValue().exclusive || k.getKey().equals(name))) {
                return false;
            }
        }
        return true;
    }

    /** Adds a consumer; returns the resulting changes of the endpoint list. */
    public List<EndpointUpdate> add(String name, String queue, boolean exclusive, int priority) {
        known.put(name, new KnownConsumer(queue, true, exclusive, priority, false, 0));
        presentByQueue.merge(queue, 1, Integer::sum);
        return updateService(queue, name);
    }

    /** Removes a consumer that was cancelled or whose channel closed; returns the resulting changes of the endpoint list. */
    public List<EndpointUpdate> remove(String name, double now) {
        KnownConsumer k = known.get(name);
        known.put(name, new KnownConsumer(k.queue, false, false, k.priority, false, now));
        presentByQueue.merge(k.queue, -1, Integer::sum);
        return updateService(k.queue, name);
    }

    /** Recomputes which consumers of a queue are in service; returns those that changed, and the named one in any case. */
    private List<EndpointUpdate> updateService(String queue, String name) {
        int highest = Integer.MIN_VALUE;
        for (KnownConsumer k : known.values()) {
            highest = k.present && k.queue.equals(queue) ? Math.max(highest, k.priority) : highest;
        }
        List<EndpointUpdate> changed = new ArrayList<>();
        for (Map.Entry<String, KnownConsumer> e : known.entrySet()) {
            KnownConsumer k = e.getValue();
            boolean inService = k.present && k.priority == highest;
            if (k.queue.equals(queue) && (inService != k.inService || e.getKey().equals(name))) {
                e.setValue(new KnownConsumer(queue, k.present, k.exclusive, k.priority, inService, k.leftMs));
                changed.add(new EndpointUpdate(e.getKey(), queue, inService, false));
            }
        }
        return changed;
    }

    /** Forgets the consumers that left {@code retentionMs} ago or earlier; returns their removal from the endpoint list. */
    public List<EndpointUpdate> removeExpired(double now) {
        List<EndpointUpdate> expired = new ArrayList<>();
        known.entrySet().removeIf(e -> {
            boolean isExpired = !e.getValue().present && now - e.getValue().leftMs >= retentionMs;
            if (isExpired) {
                expired.add(new EndpointUpdate(e.getKey(), e.getValue().queue, false, true));
            }
            return isExpired;
        });
        return expired;
    }

    /** When {@link #removeExpired} next has something to remove; empty: not unless a consumer leaves. */
    public OptionalDouble nextExpiryMs() {
        return known.values().stream().filter(k -> !k.present).mapToDouble(k -> k.leftMs + retentionMs).min();
    }

    /** Number of consumers that a queue has now. */
    public int count(String queue) {
        return presentByQueue.getOrDefault(queue, 0);
    }
}

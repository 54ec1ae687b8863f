package slipfield.amqp.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Consumers of queues as endpoints of their destinations. One that leaves is out of service at once, and is remembered for a
 * while: if it comes again under its name it is the endpoint that it was, and what was learnt of it holds. So a consumer
 * that fell and returns cold gets what a returning endpoint gets, no more.
 *
 * <p>Of the consumers of a queue those of the highest priority are in service, the others stand by until all of these have
 * left. It is not a share: a share is what the decision module gives.
 */
public final class ConsumerRegistry {
    /**
     * An endpoint, as the list is to have it.
     *
     * @param name of the endpoint: queue, user, and the consumer's own tag
     */
    public record EndpointUpdate(String name, String queue, boolean inService, boolean removed) {
    }

    private record Known(String queue, boolean here, boolean exclusive, int priority, boolean serving, double leftMs) {
    }

    private final double awayMs;
    private final Map<String, Known> known = new LinkedHashMap<>();
    private final Map<String, Integer> here = new HashMap<>();

    /** {@code awayMs}: one that left is remembered for so long. */
    public ConsumerRegistry(double awayMs) {
        this.awayMs = awayMs;
    }

    /** An endpoint's name: stable where the consumer chose its own tag. */
    public static String endpointName(String queue, String user, String tag) {
        return queue + "/" + user + "/" + tag;
    }

    /** Whether a consumer may come: none but it where one is exclusive, and each name once. */
    public boolean canAdd(String name, String queue, boolean exclusive) {
        if (exclusive && here.getOrDefault(queue, 0) > 0) {
            return false;
        }
        for (Map.Entry<String, Known> k : known.entrySet()) {
            boolean other = k.getValue().here && k.getValue().queue.equals(queue);
            if (other && (k.getValue().exclusive || k.getKey().equals(name))) {
                return false;
            }
        }
        return true;
    }

    /** It came: what changes in the list by that. */
    public List<EndpointUpdate> add(String name, String queue, boolean exclusive, int priority) {
        known.put(name, new Known(queue, true, exclusive, priority, false, 0));
        here.merge(queue, 1, Integer::sum);
        return served(queue, name);
    }

    /** It left, cancelled, or its channel is gone: what changes in the list by that. */
    public List<EndpointUpdate> remove(String name, double now) {
        Known k = known.get(name);
        known.put(name, new Known(k.queue, false, false, k.priority, false, now));
        here.merge(k.queue, -1, Integer::sum);
        return served(k.queue, name);
    }

    /** Who is in service at a queue now; told are those that this changes, and the one that it is about. */
    private List<EndpointUpdate> served(String queue, String about) {
        int highest = Integer.MIN_VALUE;
        for (Known k : known.values()) {
            highest = k.here && k.queue.equals(queue) ? Math.max(highest, k.priority) : highest;
        }
        List<EndpointUpdate> changed = new ArrayList<>();
        for (Map.Entry<String, Known> e : known.entrySet()) {
            Known k = e.getValue();
            boolean serving = k.here && k.priority == highest;
            if (k.queue.equals(queue) && (serving != k.serving || e.getKey().equals(about))) {
                e.setValue(new Known(queue, k.here, k.exclusive, k.priority, serving, k.leftMs));
                changed.add(new EndpointUpdate(e.getKey(), queue, serving, false));
            }
        }
        return changed;
    }

    /** Those that have been away for too long, and are forgotten. */
    public List<EndpointUpdate> removeExpired(double now) {
        List<EndpointUpdate> gone = new ArrayList<>();
        known.entrySet().removeIf(e -> {
            boolean old = !e.getValue().here && now - e.getValue().leftMs >= awayMs;
            if (old) {
                gone.add(new EndpointUpdate(e.getKey(), e.getValue().queue, false, true));
            }
            return old;
        });
        return gone;
    }

    /** When {@link #removeExpired} has something to tell next; empty: unless something changes, never. */
    public OptionalDouble nextExpiryMs() {
        return known.values().stream().filter(k -> !k.here).mapToDouble(k -> k.leftMs + awayMs).min();
    }

    /** How many consume a queue now. */
    public int count(String queue) {
        return here.getOrDefault(queue, 0);
    }
}

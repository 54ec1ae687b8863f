package slipfield.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The numbers that the policy and the transports use for endpoints, by id. A number stands for one endpoint of one destination: an
 * id that comes back with another destination is another endpoint, and gets another number. Endpoints that left the list are
 * forgotten after {@link #FORGET_MS}. Pure logic without I/O; times are those of {@link System#nanoTime}.
 */
final class EndpointNumbers {
    /** Longer than the policy knows an endpoint that left the list, so that it never names one that is unknown here. */
    static final long FORGET_MS = 60_000;
    /** So many that left the list are known at most; the policy keeps half as many. Beyond, the oldest are forgotten earlier. */
    static final int MAX_REMOVED = 8192;

    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, String> ids = new HashMap<>();
    private final Map<Long, Long> destinations = new HashMap<>();
    /** When each endpoint left the list, by number, the oldest first; those of the list are missing. */
    private final Map<Long, Long> removedSince = new LinkedHashMap<>();
    private long next;

    /** A number, the id that it stands for, and its destination; the id may have another number by now. */
    record Known(long number, String id, long destination) {
    }

    /** An endpoint that was forgotten; {@code idInUse}: another endpoint has its id. */
    record Forgotten(long number, String id, boolean idInUse) {
    }

    /** The number of this id. An id that is new counts as not listed: one from the journal may not be in use any more. */
    long number(String id, long nowNanos) {
        Long known = numbers.get(id);
        return known != null ? known : assign(id, nowNanos);
    }

    private long assign(String id, long nowNanos) {
        long number = next++;
        numbers.put(id, number);
        ids.put(number, id);
        removedSince.put(number, nowNanos);
        return number;
    }

    /** The id that a number stands for; null if it was forgotten. */
    String id(long number) {
        return ids.get(number);
    }

    /**
     * A list names this id with this destination.
     *
     * @return the endpoint of another destination that had the id before and is gone, if any
     */
    Optional<Known> list(String id, long destination, long nowNanos) {
        long number = number(id, nowNanos);
        Long before = destinations.get(number);
        Optional<Known> replaced = Optional.empty();
        if (before != null && before != destination) {
            replaced = Optional.of(new Known(number, id, before));
            removedSince.putIfAbsent(number, nowNanos);
            number = assign(id, nowNanos);
        }
        destinations.put(number, destination);
        return replaced;
    }

    /** The list has this id no more. */
    void removed(String id, long nowNanos) {
        removedSince.putIfAbsent(numbers.get(id), nowNanos);
    }

    /** The list has this id, and says no more of it than that it is in use. */
    void present(String id) {
        removedSince.remove(numbers.get(id));
    }

    /** All known ids. */
    Set<String> ids() {
        return Set.copyOf(numbers.keySet());
    }

    /** Forgets the endpoints that left the list long ago, or first of too many, and returns them. */
    List<Forgotten> forgetOld(long nowNanos) {
        List<Forgotten> forgotten = new ArrayList<>();
        Iterator<Map.Entry<Long, Long>> oldest = removedSince.entrySet().iterator();
        int excess = removedSince.size() - MAX_REMOVED;
        while (oldest.hasNext()) {
            Map.Entry<Long, Long> removed = oldest.next();
            boolean old = nowNanos - removed.getValue() > TimeUnit.MILLISECONDS.toNanos(FORGET_MS);
            if (!old && forgotten.size() >= excess) {
                break;
            }
            oldest.remove();
            forgotten.add(forget(removed.getKey()));
        }
        return forgotten;
    }

    private Forgotten forget(long number) {
        String id = ids.remove(number);
        destinations.remove(number);
        return new Forgotten(number, id, !numbers.remove(id, number));
    }
}

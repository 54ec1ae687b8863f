package slipfield.rig.check;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import slipfield.standin.Witness.What;

/** What a record tells of each order: when it was handed in, taken on, first at a venue, and over. Times in ms of the record. */
final class OrderHistory {
    /**
     * Giving an order up is early where more than this was left of its time: a sender ends what it can't deliver 1 s before at
     * most, the longest that a request may have stood unread.
     */
    private static final double EARLY_MS = 1000;

    private final Map<String, Event> handedIn = new HashMap<>();
    private final Map<String, Double> takenAt = new LinkedHashMap<>();
    private final Map<String, Double> seenAt = new HashMap<>();
    private final Map<String, Double> overAt = new HashMap<>();
    /** The platform was told that they are refused, or have failed. */
    private final Set<String> givenBack = new HashSet<>();
    private final Set<String> notRepeatable = new HashSet<>();

    /** Reads a record, which is in the order of time. */
    OrderHistory(List<Event> record) {
        record.forEach(this::read);
    }

    private void read(Event e) {
        switch (e.what()) {
            case HANDED_IN -> handedIn.put(e.order(), e);
            case MUST_NOT_REPEAT -> notRepeatable.add(e.order());
            case HEARD_TAKEN -> takenAt.put(e.order(), e.atMs());
            case RUN, REPEAT, TURNED_AWAY, UNSERVED -> seenAt.putIfAbsent(e.order(), e.atMs());
            case TOLD_REFUSED, TOLD_FAILED -> {
                overAt.putIfAbsent(e.order(), e.atMs());
                givenBack.add(e.order());
            }
            case ANSWERED, EXCUSED -> overAt.putIfAbsent(e.order(), e.atMs());
            default -> { }
        }
    }

    /** Orders whose desks heard that they are taken on. */
    Collection<String> taken() {
        return takenAt.keySet();
    }

    /** Whether a sender had taken the order on at this time, no venue had seen it, and it was not over. */
    boolean untriedAt(String order, int sender, double atMs) {
        Event in = handedIn.get(order);
        return in != null && in.sender() == sender && takenAt.getOrDefault(order, Double.POSITIVE_INFINITY) <= atMs
                && seenAt.getOrDefault(order, Double.POSITIVE_INFINITY) > atMs
                && overAt.getOrDefault(order, Double.POSITIVE_INFINITY) > atMs;
    }

    /** Whether more than this share of the order's time is left; it must have been handed in. */
    boolean hasLeft(String order, double share, double atMs) {
        Event in = handedIn.get(order);
        return in.atMs() + (1 - share) * in.value() > atMs;
    }

    /** Whether a venue has ever seen the order. */
    boolean called(String order) {
        return seenAt.containsKey(order);
    }

    /** Whether the order was given back, and no venue has ever seen it. */
    boolean givenUpUncalled(String order) {
        return givenBack.contains(order) && !called(order);
    }

    /** The same, while there was time left to try it. */
    boolean givenUpEarly(String order) {
        Event in = handedIn.get(order);
        return givenUpUncalled(order) && overAt.get(order) < in.atMs() + in.value() - EARLY_MS;
    }

    /** Whether the order must not run twice. */
    boolean mustNotRepeat(String order) {
        return notRepeatable.contains(order);
    }
}

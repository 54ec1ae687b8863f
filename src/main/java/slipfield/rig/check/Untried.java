package slipfield.rig.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import slipfield.standin.Witness.What;

/**
 * What one restart found taken on and untried, with time left once the sender was back, and what became of it.
 *
 * @param sender whose restart it was
 * @param backMs when the sender was back
 * @param found orders that it had taken on, that no venue had seen, and that still had time
 * @param called those of them that a venue has seen since
 * @param givenUp those that were refused or failed, and that no venue has ever seen
 */
public record Untried(int sender, double backMs, int found, int called, int givenUp) {
    /** Over all restarts of a run, fewer than this tell nothing: one venue that is away at the wrong moment would be a verdict. */
    private static final int FEW = 8;
    /** The rule counts what has half of its time left when the sender is back: less may not be enough for any call. */
    private static final double LEAST_LEFT = 0.5;

    /** Each restart in a record, which may be in any order. */
    public static List<Untried> count(List<Event> sightings) {
        return count(sightings, 0);
    }

    /** The same of those orders alone that have more than this share of their time left when the sender is back. */
    static List<Untried> count(List<Event> sightings, double leastLeft) {
        List<Event> record = sightings.stream().sorted(Comparator.comparingDouble(Event::atMs)).toList();
        Map<String, Event> handedIn = new HashMap<>();
        Map<String, Double> taken = new HashMap<>();
        Map<String, Double> seen = new HashMap<>();
        Map<String, Double> over = new HashMap<>();
        Set<String> told = new HashSet<>();
        for (Event e : record) {
            switch (e.what()) {
                case HANDED_IN -> handedIn.put(e.order(), e);
                case HEARD_TAKEN -> taken.put(e.order(), e.atMs());
                case RUN, REPEAT, TURNED_AWAY, UNSERVED -> seen.putIfAbsent(e.order(), e.atMs());
                case TOLD_REFUSED, TOLD_FAILED -> {
                    over.putIfAbsent(e.order(), e.atMs());
                    told.add(e.order());
                }
                case ANSWERED, EXCUSED -> over.putIfAbsent(e.order(), e.atMs());
                default -> { }
            }
        }
        List<Untried> restarts = new ArrayList<>();
        Map<Integer, Double> endedAt = new HashMap<>();
        for (Event e : record) {
            if (e.what() == What.ENDED) {
                endedAt.put(e.sender(), e.atMs());
            }
            Double ended = e.what() == What.BACK ? endedAt.remove(e.sender()) : null;
            if (ended == null) {
                continue;
            }
            List<String> found = taken.keySet().stream().filter(order -> {
                Event in = handedIn.get(order);
                return in != null && in.sender() == e.sender() && taken.get(order) <= ended
                        && seen.getOrDefault(order, Double.POSITIVE_INFINITY) > ended
                        && over.getOrDefault(order, Double.POSITIVE_INFINITY) > ended
                        && in.atMs() + (1 - leastLeft) * in.value() > e.atMs();
            }).toList();
            restarts.add(new Untried(e.sender(), e.atMs(), found.size(), (int) found.stream().filter(seen::containsKey).count(),
                    (int) found.stream().filter(order -> told.contains(order) && !seen.containsKey(order)).count()));
        }
        return restarts;
    }

    /** Giving up over half of what a run's restarts found, with no call, fails it. */
    static void check(List<Event> record, Bounds bounds, List<Violation> violations) {
        List<Untried> restarts = count(record, LEAST_LEFT);
        int found = restarts.stream().mapToInt(Untried::found).sum();
        int givenUp = restarts.stream().mapToInt(Untried::givenUp).sum();
        if (found >= FEW && 2 * givenUp > found) {
            violations.add(new Violation("untried", restarts.get(restarts.size() - 1).backMs(), String.format(Locale.ROOT,
                    "%d of %d orders that restarts found untried were given up with no call: %s", givenUp, found, restarts)));
        }
    }
}

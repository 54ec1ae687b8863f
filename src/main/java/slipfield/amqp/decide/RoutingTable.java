package slipfield.amqp.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Where a publish goes, by its exchange and routing key: the first pattern that fits. Patterns are those of a topic
 * exchange (specification 0-9-1, 3.1.3.3): words with dots between, {@code *} for one word, {@code #} for any number.
 */
public final class RoutingTable {
    /** Where it goes. */
    public record Target(String messageClass, long destination) {
    }

    /**
     * A line of the operator's file.
     *
     * @param destination used where {@code destinationWord} is 0
     * @param destinationWord which word of the key, from 1, is the destination's number; 0: none
     */
    public record Route(String pattern, String messageClass, long destination, int destinationWord) {
    }

    private record Compiled(String[] pattern, Route route) {
    }

    private final Map<String, List<Compiled>> exchanges = new HashMap<>();

    /** Adds an exchange with its routes, in the order in which they are tried. */
    public RoutingTable addExchange(String name, List<Route> routes) {
        List<Compiled> compiled = new ArrayList<>();
        routes.forEach(r -> compiled.add(new Compiled(words(r.pattern()), r)));
        exchanges.put(name, compiled);
        return this;
    }

    /** Whether there is an exchange of this name. */
    public boolean hasExchange(String exchange) {
        return exchanges.containsKey(exchange);
    }

    /** Whether the file binds something there by exactly this pattern. */
    public boolean hasBinding(String exchange, String pattern) {
        return exchanges.getOrDefault(exchange, List.of()).stream().anyMatch(c -> c.route.pattern().equals(pattern));
    }

    /** Where a key goes; nowhere if none fits, or if the word for the destination is no number. */
    public Optional<Target> resolve(String exchange, String key) {
        String[] words = words(key);
        for (Compiled c : exchanges.getOrDefault(exchange, List.of())) {
            if (fits(c.pattern, words)) {
                return resolve(c.route, words);
            }
        }
        return Optional.empty();
    }

    private static Optional<Target> resolve(Route route, String[] words) {
        if (route.destinationWord() == 0) {
            return Optional.of(new Target(route.messageClass(), route.destination()));
        }
        if (route.destinationWord() > words.length || !words[route.destinationWord() - 1].matches("[0-9]{1,18}")) {
            return Optional.empty();
        }
        return Optional.of(new Target(route.messageClass(), Long.parseLong(words[route.destinationWord() - 1])));
    }

    private static String[] words(String key) {
        return key.split("\\.", -1);
    }

    /**
     * One pass with a way back to the last {@code #}: no pattern takes more than the product of both lengths. Guards
     * against a key that is made to be tried in every way.
     */
    private static boolean fits(String[] pattern, String[] words) {
        int p = 0;
        int w = 0;
        int hash = -1;
        int from = 0;
        while (w < words.length) {
            if (p < pattern.length && pattern[p].equals("#")) {
                hash = p++;
                from = w;
            } else if (p < pattern.length && (pattern[p].equals("*") || pattern[p].equals(words[w]))) {
                p++;
                w++;
            } else if (hash >= 0) {
                p = hash + 1;
                w = ++from;
            } else {
                return false;
            }
        }
        while (p < pattern.length && pattern[p].equals("#")) {
            p++;
        }
        return p == pattern.length;
    }
}

package slipfield.amqp.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Routes a publish by its exchange and routing key: the first matching pattern applies. Patterns are those of a topic
 * exchange (specification 0-9-1, 3.1.3.3): words separated by dots, {@code *} for one word, {@code #} for any number of words.
 */
public final class RoutingTable {
    /** The message class and the destination of a publish. */
    public record Target(String messageClass, long destination) {
    }

    /**
     * A route of the operator's file.
     *
     * @param destination the destination's number if {@code destinationWord} is 0
     * @param destinationWord index, from 1, of the word of the key that is the destination's number; 0: none
     */
    public record Route(String pattern, String messageClass, long destination, int destinationWord) {
    }

    private record CompiledRoute(String[] pattern, Route route) {
    }

    private final Map<String, List<CompiledRoute>> exchanges = new HashMap<>();

    /** Adds an exchange with its routes, which are tried in this order. Returns this table. */
    public RoutingTable addExchange(String name, List<Route> routes) {
        List<CompiledRoute> compiled = new ArrayList<>();
        routes.forEach(r -> compiled.add(new CompiledRoute(words(r.pattern()), r)));
        exchanges.put(name, compiled);
        return this;
    }

    /** Whether an exchange of this name exists. */
    public boolean hasExchange(String exchange) {
        return exchanges.containsKey(exchange);
    }

    /** Whether the file has a route with exactly this pattern for the exchange. */
    public boolean hasBinding(String exchange, String pattern) {
        return exchanges.getOrDefault(exchange, List.of()).stream().anyMatch(c -> c.route.pattern().equals(pattern));
    }

    /** The target of a key; empty if no pattern matches, or if the destination's word is not a number of up to 18 digits. */
    public Optional<Target> resolve(String exchange, String key) {
        String[] words = words(key);
        for (CompiledRoute c : exchanges.getOrDefault(exchange, List.of())) {
            if (matches(c.pattern, words)) {
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
     * Matches in one pass with backtracking to the last {@code #} only, so the number of steps is at most the product of both
     * lengths. This guards against keys crafted to make the match try every combination.
     */
    private static boolean matches(String[] pattern, String[] words) {
        int p = 0;
        int w = 0;
        int lastHash = -1;
        int retryFrom = 0;
        while (w < words.length) {
            if (p < pattern.length && pattern[p].equals("#")) {
                lastHash = p++;
                retryFrom = w;
            } else if (p < pattern.length && (pattern[p].equals("*") || pattern[p].equals(words[w]))) {
                p++;
                w++;
            } else if (lastHash >= 0) {
                p = lastHash + 1;
                w = ++retryFrom;
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

package slipfield.client;

import java.util.Map;
import slipfield.client.decide.ClassRule;
import slipfield.client.decide.Rules;

/**
 * How a client behaves.
 *
 * @param name tells it from other clients, and is the same after a restart, where ends are followed; else of no matter
 * @param senders where its senders are
 * @param classes what may be done again with the orders of each class; one of a class that is not named is not repeated
 * @param rules the figures of its decisions
 * @param connectMs a connect that takes longer has failed
 * @param keepMs a connection that stood idle so long is closed; under the senders' 2,500 ms, or hand-ins cross their close
 * @param seed of what is drawn by chance
 */
public record ClientSettings(String name, Senders senders, Map<String, ClassRule> classes, Rules rules, int connectMs,
        long keepMs, long seed) {
    private static final int CONNECT_MS = 1000;
    private static final long KEEP_MS = 2000;

    /** The usual settings, with a seed of the moment. */
    public ClientSettings(String name, Senders senders, Map<String, ClassRule> classes, Rules rules) {
        this(name, senders, classes, rules, CONNECT_MS, KEEP_MS, System.nanoTime() ^ (long) name.hashCode() << 32);
    }

    ClassRule rule(String messageClass) {
        return classes.getOrDefault(messageClass, ClassRule.unsafe());
    }
}

package slipfield.client;

import java.util.Map;
import slipfield.client.decide.ClassRule;
import slipfield.client.decide.Rules;

/**
 * The settings of a client.
 *
 * @param name identifies the client to senders if it follows final answers: then it must be unique and the same after a
 *     restart. Otherwise it is not used
 * @param senders the source of sender addresses
 * @param classes which repeated submissions are allowed, by message class; orders of a class that is missing are not repeated
 * @param rules the parameters of the client's decisions
 * @param connectMs connect timeout, in ms
 * @param keepMs idle time after which a connection is closed, in ms. It must be less than the 2,500 ms after which senders
 *     close idle connections; otherwise a submission may be sent while its connection is being closed
 * @param seed seed of the random generator
 */
public record ClientSettings(String name, Senders senders, Map<String, ClassRule> classes, Rules rules, int connectMs,
        long keepMs, long seed) {
    private static final int DEFAULT_CONNECT_MS = 1000;
    private static final long DEFAULT_KEEP_MS = 2000;

    /** Settings with the default timeouts and a seed that is taken from the clock and the name. */
    public ClientSettings(String name, Senders senders, Map<String, ClassRule> classes, Rules rules) {
        this(name, senders, classes, rules, DEFAULT_CONNECT_MS, DEFAULT_KEEP_MS,
                System.nanoTime() ^ (long) name.hashCode() << 32);
    }

    ClassRule rule(String messageClass) {
        return classes.getOrDefault(messageClass, ClassRule.unsafe());
    }
}

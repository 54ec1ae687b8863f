package slipfield.front.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The request bodies of which a part was received, and a limit on their memory. A connection can't be paused within a body, since
 * only further reading completes it; so beyond the limit the one that began first is given up.
 *
 * @param <C> the type of the connections
 */
final class IncompleteBodies<C> {
    private final long maxBytes;
    /** The bytes of each connection's body, in the order in which they began. */
    private final Map<C, Long> bytesByConnection = new LinkedHashMap<>();
    private long bytes;

    /** {@code maxBytes}: limit on the bytes of all incomplete bodies. */
    IncompleteBodies(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** More bytes of a connection's body were received. */
    void received(C connection, long more) {
        bytesByConnection.merge(connection, more, Long::sum);
        bytes += more;
    }

    /** A connection's body is complete or was given up. */
    void ended(C connection) {
        Long ended = bytesByConnection.remove(connection);
        if (ended != null) {
            bytes -= ended;
        }
    }

    /** The connection whose body must be given up; empty below the limit. */
    Optional<C> toGiveUp() {
        return bytes > maxBytes ? bytesByConnection.keySet().stream().findFirst() : Optional.empty();
    }

    /** The bytes of all incomplete bodies. */
    long bytes() {
        return bytes;
    }
}

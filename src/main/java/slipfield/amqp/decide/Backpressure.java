package slipfield.amqp.decide;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides which publishers' connections are read. A connection is paused when its unsettled messages reach the limit per
 * connection, or when all connections together reach the total limit and it has at least an equal share of it. It is read
 * again below half of the limit that paused it, so that it does not change state with every message. The equal share shrinks
 * as more connections publish, while earlier ones keep what they have; all together never exceed twice the total limit.
 */
public final class Backpressure {
    /** Unsettled messages and their octets, or a limit of both. */
    public record Load(int messages, long octets) {
        private static final Load NONE = new Load(0, 0);

        private boolean reaches(Load limit) {
            return messages >= limit.messages || octets >= limit.octets;
        }

        private Load dividedBy(int divisor) {
            return new Load(Math.max(1, messages / divisor), Math.max(1, octets / divisor));
        }
    }

    private final Load perConnection;
    private final Load total;
    private final Map<Integer, Load> loads = new LinkedHashMap<>();
    private final Set<Integer> paused = new HashSet<>();
    private final Map<Integer, Long> partialOctets = new HashMap<>();
    private long allPartialOctets;
    private int messages;
    private long octets;

    /** Limits of one connection and of all connections together. */
    public Backpressure(Load perConnection, Load total) {
        this.perConnection = perConnection;
        this.total = total;
    }

    /** Adds to a connection's unsettled load (negative: subtracts); returns whether the connection is to be read now. */
    public boolean addLoad(int connection, int moreMessages, long moreOctets) {
        Load before = loads.getOrDefault(connection, Load.NONE);
        Load current = new Load(before.messages + moreMessages, before.octets + moreOctets);
        messages += moreMessages;
        octets += moreOctets;
        if (current.messages == 0) {
            loads.remove(connection);
        } else {
            loads.put(connection, current);
        }
        return mayRead(connection);
    }

    /** Whether a connection is to be read now; pauses or resumes it accordingly. */
    public boolean mayRead(int connection) {
        Load current = loads.getOrDefault(connection, Load.NONE);
        Load all = new Load(messages, octets);
        Load share = total.dividedBy(Math.max(1, loads.size()));
        boolean pause = paused.contains(connection)
                ? current.reaches(perConnection.dividedBy(2))
                        || all.reaches(total.dividedBy(2)) && current.reaches(share.dividedBy(2))
                : current.reaches(perConnection) || all.reaches(total) && current.reaches(share);
        if (pause) {
            paused.add(connection);
        } else {
            paused.remove(connection);
        }
        return !pause;
    }

    /**
     * Registers a body of this size whose first frame has come; returns false if it exceeds a limit. A connection can't be
     * paused within a body, since only further reading completes it. Incomplete bodies are therefore limited separately, by
     * the same numbers of octets as unsettled messages.
     */
    public boolean tryStartBody(int connection, long bodyOctets) {
        long ownOctets = partialOctets.getOrDefault(connection, 0L) + bodyOctets;
        if (ownOctets > perConnection.octets || allPartialOctets + bodyOctets > total.octets) {
            return false;
        }
        partialOctets.put(connection, ownOctets);
        allPartialOctets += bodyOctets;
        return true;
    }

    /** A registered body is complete, or was given up. */
    public void bodyDone(int connection, long bodyOctets) {
        allPartialOctets -= bodyOctets;
        partialOctets.computeIfPresent(connection, (c, ownOctets) -> ownOctets == bodyOctets ? null : ownOctets - bodyOctets);
    }

    /** A connection was closed; its load and its incomplete bodies no longer count. */
    public void connectionClosed(int connection) {
        bodyDone(connection, partialOctets.getOrDefault(connection, 0L));
        Load before = loads.getOrDefault(connection, Load.NONE);
        addLoad(connection, -before.messages, -before.octets);
        paused.remove(connection);
    }

    /** The connections that are paused. */
    public Set<Integer> paused() {
        return Set.copyOf(paused);
    }
}

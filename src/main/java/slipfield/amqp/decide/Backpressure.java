package slipfield.amqp.decide;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Who is read. A publisher's connection is paused when it has as much unsettled as it may have by itself; when all of them
 * together have more than they may, those are paused that have more than an even share. Each is read again at half of the
 * mark that paused it, so that none goes to and fro at each message. A share shrinks as more connections come, and those
 * who came first keep what they have: so all together never have more than twice their mark.
 */
public final class Backpressure {
    /** What is unsettled. */
    public record Load(int messages, long octets) {
        private static final Load NONE = new Load(0, 0);

        private boolean over(Load mark) {
            return messages >= mark.messages || octets >= mark.octets;
        }

        private Load part(int of) {
            return new Load(Math.max(1, messages / of), Math.max(1, octets / of));
        }
    }

    private final Load mostEach;
    private final Load mostAll;
    private final Map<Integer, Load> loads = new LinkedHashMap<>();
    private final Set<Integer> paused = new HashSet<>();
    private final Map<Integer, Long> begun = new HashMap<>();
    private long begunOctets;
    private int messages;
    private long octets;

    /** Marks for one connection and for all. */
    public Backpressure(Load mostEach, Load mostAll) {
        this.mostEach = mostEach;
        this.mostAll = mostAll;
    }

    /** So much more (or, negative, less) of a connection is unsettled; whether it is to be read from now on. */
    public boolean addLoad(int connection, int moreMessages, long moreOctets) {
        Load was = loads.getOrDefault(connection, Load.NONE);
        Load is = new Load(was.messages + moreMessages, was.octets + moreOctets);
        messages += moreMessages;
        octets += moreOctets;
        if (is.messages == 0) {
            loads.remove(connection);
        } else {
            loads.put(connection, is);
        }
        return mayRead(connection);
    }

    /** Whether a connection is to be read now. */
    public boolean mayRead(int connection) {
        Load is = loads.getOrDefault(connection, Load.NONE);
        Load all = new Load(messages, octets);
        Load share = mostAll.part(Math.max(1, loads.size()));
        boolean over = paused.contains(connection)
                ? is.over(mostEach.part(2)) || all.over(mostAll.part(2)) && is.over(share.part(2))
                : is.over(mostEach) || all.over(mostAll) && is.over(share);
        if (over) {
            paused.add(connection);
        } else {
            paused.remove(connection);
        }
        return !over;
    }

    /**
     * A body of so many octets has begun to come. What has begun can't be paused, since only reading on ends it: so what is
     * begun and not whole has bounds of its own, the same as what is unsettled.
     *
     * @return false if it is too much
     */
    public boolean tryStartBody(int connection, long bodyOctets) {
        long mine = begun.getOrDefault(connection, 0L) + bodyOctets;
        if (mine > mostEach.octets || begunOctets + bodyOctets > mostAll.octets) {
            return false;
        }
        begun.put(connection, mine);
        begunOctets += bodyOctets;
        return true;
    }

    /** A body that had begun is whole, or will never be. */
    public void bodyDone(int connection, long bodyOctets) {
        begunOctets -= bodyOctets;
        begun.computeIfPresent(connection, (c, mine) -> mine == bodyOctets ? null : mine - bodyOctets);
    }

    /** A connection is gone with all that it had. */
    public void connectionClosed(int connection) {
        bodyDone(connection, begun.getOrDefault(connection, 0L));
        Load was = loads.getOrDefault(connection, Load.NONE);
        addLoad(connection, -was.messages, -was.octets);
        paused.remove(connection);
    }

    /** Those that are paused. */
    public Set<Integer> paused() {
        return Set.copyOf(paused);
    }
}

package slipfield.front.http;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Limits the number of client connections and the time that each may spend in a state. When there are too many connections, those
 * that matter least are evicted.
 */
final class ClientConnections {
    /** Time limit for receiving a complete request: the first one from connecting, later ones from their first byte. */
    private static final long REQUEST_MS = 2000;
    /**
     * How long an idle connection is kept open. Without this limit, clients that send one request per connection would occupy
     * the connections that others need.
     */
    private static final long IDLE_MS = 2500;
    /**
     * Delay between the answer to a request that was not read completely and the close of its connection. Closing at once could
     * reset the connection before the client has read the answer.
     */
    private static final long LINGER_MS = 500;
    /**
     * Share of the connections that may be in state {@link State#IDLE}; beyond it the longest idle one is closed. Some clients
     * send one request per connection and keep the connection open. Clients that submit messages have a limited number of
     * connections, and without this limit there would be none left for them for {@link #IDLE_MS}.
     */
    private static final double IDLE_SHARE = 0.45;
    /** For this long a new connection is evicted only after low-priority idle ones: its first request is probably on its way. */
    private static final long NEW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final int maxConnections;
    /** The connections in each state, in the order in which they entered it. */
    private final Map<State, Set<Entry>> entries = new EnumMap<>(State.class);
    private boolean closing;

    /** The state of a connection. Connections are evicted in the order of these constants. */
    enum State {
        /** The last answer was sent; further data is not read. */
        CLOSING,
        /** No complete request has been received yet. */
        NEW,
        /** Idle between requests, none of which submitted a message: health checks, or requests for unknown paths. */
        IDLE_LOW_PRIORITY,
        /** Idle between requests, after a submission or a poll. */
        IDLE,
        /** Polls for final answers. */
        POLLING,
        /** A later request has been received in part. */
        RECEIVING
    }

    /** A client connection that is notified of evictions and time-outs. */
    interface Connection {
        /** Whether data was received that is not decoded yet; it may contain a complete request. */
        boolean hasUnread();

        /** Closes the connection at once, to make room for another one or because the process ends. */
        void evict();

        /** The connection has exceeded the time limit of its state. */
        void timedOut();
    }

    /** The state of one connection. */
    static final class Entry {
        private final Connection connection;
        private State state = State.NEW;
        /** When the connection entered its state, by {@link System#nanoTime}. */
        private long since = System.nanoTime();

        Entry(Connection connection) {
            this.connection = connection;
        }

        State state() {
            return state;
        }
    }

    /** Creates an empty set that holds at most {@code maxConnections}. */
    ClientConnections(int maxConnections) {
        this.maxConnections = maxConnections;
        for (State state : State.values()) {
            entries.put(state, new LinkedHashSet<>());
        }
    }

    int size() {
        return entries.values().stream().mapToInt(Set::size).sum();
    }

    int count(State state) {
        return entries.get(state).size();
    }

    /** Adds a new connection, and evicts one if there are too many. */
    void add(Entry entry) {
        entries.get(entry.state).add(entry);
        if (size() > maxConnections) {
            evict(selectForEviction(entry));
        }
    }

    /** Removes a connection that was closed. */
    void remove(Entry entry) {
        entries.get(entry.state).remove(entry);
    }

    /** Stops closing idle connections from now on: each is closed with the answer to its next request. */
    void startClosing() {
        closing = true;
    }

    /** Closes all connections that have no request in progress. */
    void closeIdle() {
        for (State state : List.of(State.NEW, State.IDLE_LOW_PRIORITY, State.IDLE)) {
            List.copyOf(entries.get(state)).stream().filter(entry -> !entry.connection.hasUnread()).forEach(this::evict);
        }
    }

    /**
     * Removes the connection before it closes. Otherwise several connections that are added in one event-loop iteration would all
     * select the same one for eviction, and the limit would be exceeded.
     */
    private void evict(Entry entry) {
        remove(entry);
        entry.connection.evict();
    }

    /**
     * Selects the connection to evict: the one that has been longest in the first non-empty state, leaving out connections with
     * data that is not decoded yet. Those in {@link State#NEW} for less than {@link #NEW_NANOS} are taken only after those in
     * {@link State#IDLE_LOW_PRIORITY}, because their first request may arrive soon. While another sender is unavailable, many
     * clients may only connect or only check health. With another order they would evict the clients that submit messages, which
     * would reconnect and evict each other.
     */
    private Entry selectForEviction(Entry newest) {
        long now = System.nanoTime();
        Entry recent = null;
        for (Map.Entry<State, Set<Entry>> group : entries.entrySet()) {
            if (recent != null && group.getKey().compareTo(State.IDLE_LOW_PRIORITY) > 0) {
                return recent;
            }
            for (Entry e : group.getValue()) {
                if (e == newest || e.connection.hasUnread()) {
                    continue;
                }
                if (group.getKey() != State.NEW || now - e.since >= NEW_NANOS) {
                    return e;
                }
                recent = recent == null ? e : recent;
            }
        }
        return recent == null ? newest : recent;
    }

    void setState(Entry entry, State next) {
        if (entries.get(entry.state).remove(entry)) {
            entries.get(next).add(entry);
        }
        entry.state = next;
        entry.since = System.nanoTime();
        Set<Entry> idle = entries.get(State.IDLE);
        if (next == State.IDLE && !closing && idle.size() > Math.max(1, IDLE_SHARE * maxConnections)) {
            for (Entry longest : idle) {
                if (longest != entry) {
                    evict(longest);
                    break;
                }
            }
        }
    }

    /** Notifies the connections that have exceeded the time limit of their state. */
    void sweep() {
        long now = System.nanoTime();
        entries.forEach((state, members) -> {
            long limitMs = switch (state) {
                case CLOSING -> LINGER_MS;
                case NEW, RECEIVING -> REQUEST_MS;
                case IDLE_LOW_PRIORITY, IDLE -> closing ? Long.MAX_VALUE : IDLE_MS;
                case POLLING -> Long.MAX_VALUE;
            };
            members.stream().takeWhile(e -> TimeUnit.NANOSECONDS.toMillis(now - e.since) >= limitMs).toList()
                    .forEach(e -> e.connection.timedOut());
        });
    }
}

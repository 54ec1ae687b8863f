package slipfield.front.http;

import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    /** A connection that is idle for less than this is probably in use by a client that submits messages at short intervals. */
    private static final long RESTING_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);
    /** A client waits 400 ms for its answer: after this long with a request incomplete, its connection matters least. */
    private static final long SLOW_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final int maxConnections;
    /** The connections in each state, in the order in which they entered it. */
    private final Map<State, Set<Entry>> entries = new EnumMap<>(State.class);
    /** The connections of each rank, in the order in which they entered it. */
    private final Map<Rank, Set<Entry>> ranks = new EnumMap<>(Rank.class);
    private int count;
    private boolean closing;

    /** The state of a connection. */
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

    /** What the eviction of a connection depends on. */
    private enum Rank {
        /** In state {@link State#CLOSING}. */
        CLOSING,
        /** Nothing was received yet. */
        SILENT,
        /** See {@link Connection#expendable}. */
        EXPENDABLE,
        /** Idle in state {@link State#IDLE_LOW_PRIORITY}. */
        IDLE_LOW_PRIORITY,
        /** A part of a request was received, after earlier ones that submitted messages. */
        INCOMPLETE,
        /** Idle in state {@link State#IDLE}. */
        IDLE,
        /** Polls, or has sent data that is not decoded yet and may contain a complete request. */
        IN_USE
    }

    /** A client connection that is notified of evictions and time-outs. */
    interface Connection {
        /** Whether data was received that is not decoded yet; it may contain a complete request. */
        boolean hasUnread();

        /**
         * Whether it has never submitted a message, and either its request is incomplete or it has sent many requests. What is
         * not decoded of it yet is not worth another client's connection.
         */
        boolean expendable();

        /** Closes the connection at once, to make room for another one or because the process ends. */
        void evict();

        /** The connection has exceeded the time limit of its state. */
        void timedOut();
    }

    /** The state of one connection. */
    static final class Entry {
        private final Connection connection;
        private State state = State.NEW;
        private Rank rank = Rank.SILENT;
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
        for (Rank rank : Rank.values()) {
            ranks.put(rank, new LinkedHashSet<>());
        }
    }

    int size() {
        return count;
    }

    int count(State state) {
        return entries.get(state).size();
    }

    /** Adds a new connection, and evicts one if there are too many. */
    void add(Entry entry) {
        entries.get(entry.state).add(entry);
        ranks.get(entry.rank).add(entry);
        count++;
        if (size() > maxConnections) {
            evict(selectForEviction(entry));
        }
    }

    /** Removes a connection that was closed. */
    void remove(Entry entry) {
        if (entries.get(entry.state).remove(entry)) {
            ranks.get(entry.rank).remove(entry);
            count--;
        }
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
     * Selects the connection to evict: the one that has been longest in the first non-empty rank. Those in {@link State#NEW} for
     * less than {@link #NEW_NANOS} are taken only after those in {@link State#IDLE_LOW_PRIORITY}, because their first request may
     * arrive soon. While another sender is unavailable, many clients may only connect or only check health. With another order
     * they would evict the clients that submit messages, which would reconnect and evict each other. Where all others are in use
     * the new connection is closed, which has not been read yet.
     */
    private Entry selectForEviction(Entry newest) {
        long now = System.nanoTime();
        return oldest(Rank.CLOSING, newest)
                .or(() -> oldest(Rank.SILENT, newest).filter(entry -> now - entry.since >= NEW_NANOS))
                .or(() -> oldest(Rank.EXPENDABLE, newest))
                .or(() -> oldest(Rank.IDLE_LOW_PRIORITY, newest))
                .or(() -> oldest(Rank.SILENT, newest))
                .or(() -> oldest(Rank.INCOMPLETE, newest).filter(entry -> now - entry.since >= SLOW_NANOS))
                .or(() -> oldest(Rank.IDLE, newest).filter(entry -> now - entry.since >= RESTING_NANOS))
                .orElse(newest);
    }

    private Optional<Entry> oldest(Rank rank, Entry newest) {
        Iterator<Entry> members = ranks.get(rank).iterator();
        Entry first = members.hasNext() ? members.next() : null;
        return Optional.ofNullable(first == newest && members.hasNext() ? members.next() : first).filter(entry -> entry != newest);
    }

    /** Updates what an entry's eviction depends on: its state, and what its connection has received. */
    void update(Entry entry) {
        Rank next = rank(entry);
        if (next != entry.rank && ranks.get(entry.rank).remove(entry)) {
            ranks.get(next).add(entry);
            entry.rank = next;
        }
    }

    private static Rank rank(Entry entry) {
        if (entry.state == State.CLOSING) {
            return Rank.CLOSING;
        }
        if (entry.connection.expendable()) {
            return Rank.EXPENDABLE;
        }
        if (entry.connection.hasUnread()) {
            return Rank.IN_USE;
        }
        return switch (entry.state) {
            case NEW -> Rank.SILENT;
            case IDLE_LOW_PRIORITY -> Rank.IDLE_LOW_PRIORITY;
            case IDLE -> Rank.IDLE;
            case RECEIVING -> Rank.INCOMPLETE;
            default -> Rank.IN_USE;
        };
    }

    void setState(Entry entry, State next) {
        if (entries.get(entry.state).remove(entry)) {
            entries.get(next).add(entry);
        }
        entry.state = next;
        entry.since = System.nanoTime();
        update(entry);
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

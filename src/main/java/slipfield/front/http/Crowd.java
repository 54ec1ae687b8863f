package slipfield.front.http;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Who is connected and at what, who makes room for whom, and whose time is over. */
final class Crowd {
    /** From connecting, or from a later request's first byte, until the request is whole. */
    private static final long REQUEST_MS = 2000;
    /** A connection between requests is kept for so long, lest those that ask once keep the others out. */
    private static final long IDLE_MS = 2500;
    /** From the answer to what is too long until the close: closing at once could reset it unread. */
    private static final long LINGER_MS = 500;
    /**
     * Share of the connections that may stand between requests; beyond it the one that stood longest is closed.
     * Guards against clients that ask once on each connection and keep it: those who hand in messages have a
     * bounded number of them, and find none left while we keep all for {@link #IDLE_MS}.
     */
    private static final double IDLE_SHARE = 0.45;
    /** A connection is new for so long: its first request is mostly on its way. */
    private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final int most;
    /** The connections in each state, those that are in it longest first. */
    private final Map<State, Set<Seat>> seats = new EnumMap<>(State.class);
    private boolean closing;

    /** What a connection is at, in the order in which they make room for others. */
    enum State {
        /** The last answer is out; what still comes is not read. */
        ENDING,
        /** Nothing was asked yet, or only in part. */
        SILENT,
        /** Between requests, and none so far handed in a message: it asks for health, or for what is not there. */
        VISITING,
        /** Between requests, after a message. */
        IDLE,
        /** Waits for the ends of its messages. */
        FOLLOWING,
        /** A later request has come in part. */
        ASKING
    }

    /** A connection, as what becomes of it here is told. */
    interface Guest {
        /** Whether something of it waits to be looked at: there may be a whole request in that. */
        boolean hasUnread();

        /** It is closed at once, since others need its place. */
        void makeRoom();

        /** It was in its state for too long. */
        void outOfTime();
    }

    /** A connection's place. */
    static final class Seat {
        private final Guest guest;
        private State state = State.SILENT;
        /** When the state began. */
        private long since = System.nanoTime();

        Seat(Guest guest) {
            this.guest = guest;
        }

        State state() {
            return state;
        }
    }

    /** So many connections at most. */
    Crowd(int most) {
        this.most = most;
        for (State state : State.values()) {
            seats.put(state, new LinkedHashSet<>());
        }
    }

    int size() {
        return seats.values().stream().mapToInt(Set::size).sum();
    }

    int in(State state) {
        return seats.get(state).size();
    }

    /** It is connected; another makes room for it where there are too many. */
    void came(Seat seat) {
        seats.get(seat.state).add(seat);
        if (size() > most) {
            makeRoom(leastWanted(seat));
        }
    }

    /** It is connected no more. */
    void left(Seat seat) {
        seats.get(seat.state).remove(seat);
    }

    /** Connections between requests are waited for from now on: each is ended with its next answer. */
    void closing() {
        closing = true;
    }

    /** Those that have asked nothing that waits for its answer are gone at once; so is whoever comes to rest from now on. */
    void finish() {
        for (State state : List.of(State.SILENT, State.VISITING, State.IDLE)) {
            List.copyOf(seats.get(state)).stream().filter(seat -> !seat.guest.hasUnread()).forEach(this::makeRoom);
        }
    }

    /** Gone at once: of a crowd that connects in one turn each must find another to take the place of. */
    private void makeRoom(Seat seat) {
        left(seat);
        seat.guest.makeRoom();
    }

    /**
     * The first in the order of the states, the longest in it; but one that connected a moment ago may be
     * about to ask, so visitors go before it. Guards against crowds that only connect, or only ask for
     * health: while another sender is away they would push out all who hand in messages, who then connect
     * again and push out each other.
     */
    private Seat leastWanted(Seat newest) {
        long now = System.nanoTime();
        Seat fresh = null;
        for (Map.Entry<State, Set<Seat>> members : seats.entrySet()) {
            if (fresh != null && members.getKey().compareTo(State.VISITING) > 0) {
                return fresh;
            }
            for (Seat s : members.getValue()) {
                if (s == newest || s.guest.hasUnread()) {
                    continue;
                }
                if (members.getKey() != State.SILENT || now - s.since >= FRESH_NANOS) {
                    return s;
                }
                fresh = fresh == null ? s : fresh;
            }
        }
        return fresh == null ? newest : fresh;
    }

    void enter(Seat seat, State next) {
        if (seats.get(seat.state).remove(seat)) {
            seats.get(next).add(seat);
        }
        seat.state = next;
        seat.since = System.nanoTime();
        Set<Seat> idle = seats.get(State.IDLE);
        if (next == State.IDLE && !closing && idle.size() > Math.max(1, IDLE_SHARE * most)) {
            for (Seat longest : idle) {
                if (longest != seat) {
                    makeRoom(longest);
                    break;
                }
            }
        }
    }

    /** Tells those whose time in their state is over. */
    void sweep() {
        long now = System.nanoTime();
        seats.forEach((state, members) -> {
            long limitMs = switch (state) {
                case ENDING -> LINGER_MS;
                case SILENT, ASKING -> REQUEST_MS;
                case VISITING, IDLE -> closing ? Long.MAX_VALUE : IDLE_MS;
                case FOLLOWING -> Long.MAX_VALUE;
            };
            members.stream().takeWhile(s -> TimeUnit.NANOSECONDS.toMillis(now - s.since) >= limitMs).toList()
                    .forEach(s -> s.guest.outOfTime());
        });
    }
}

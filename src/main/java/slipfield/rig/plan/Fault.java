package slipfield.rig.plan;

import java.util.List;
import java.util.Locale;

/**
 * Something that goes wrong from a time on, for a while.
 *
 * @param kind what it is
 * @param atMs when it begins, from the start of the schedule
 * @param forMs for how long; 0 where the kind has no length
 * @param senders the senders that it strikes, by number from 0; empty: all
 * @param others what is at the other end of the links struck: venues, or other senders; empty: all
 * @param size by the kind: a delay in ms, a share from 0 to 1, or bytes a second
 */
public record Fault(Kind kind, long atMs, long forMs, List<Integer> senders, List<Integer> others, double size) {
    /** What may go wrong. */
    public enum Kind {
        /** A process gets SIGKILL and is started again after the length, with its folder. */
        KILL(true, false),
        /** The same, and its folder is empty: the machine was lost. */
        LOSE(true, false),
        /** SIGSTOP, and SIGCONT after the length. */
        STOP(true, false),
        /** So many others, the size, want the core that the process is on. */
        STARVE(true, false),
        /** A process gets SIGHUP and SIGTERM, each twice, SIGKILL when the length is over, and is started again, with its folder. */
        TERM(true, false),
        /** So many clients, the size, connect to a sender and ask nothing. */
        CROWD(true, false),
        /** So many clients, the size, connect to a sender and never complete a request. */
        HOSTILE_CROWD(true, false),
        /** This share of a sender's calls to open, connect and accept sockets fails, the size. */
        SOCKETS_FAIL(true, false),
        /** This share of a sender's reads and writes on sockets is interrupted, the size. */
        READS_INTERRUPTED(true, false),
        /** This share of a sender's reads and writes on sockets is cut short, the size. */
        READS_SHORT(true, false),
        /** This share of the calls that write, cut, sync and rename a sender's files fails, the size. */
        DISK_FAIL(true, false),
        /** A sender's wall clock is so many ms ahead, the size. */
        CLOCK_AHEAD(true, false),
        /** A sender's wall clock is so many ms behind, the size. */
        CLOCK_BEHIND(true, false),
        /** Links to venues say nothing, both ways, and what is under way is held. */
        VENUE_SILENT(true, true),
        /** The same from the sender to the venue only: what the venue writes still comes. */
        VENUE_DEAF(true, true),
        /** The same from the venue to the sender only: what the sender writes still arrives. */
        VENUE_MUTE(true, true),
        /** Links to venues refuse connections, and reset those that stand. */
        VENUE_REFUSE(true, true),
        /** Connections to venues are reset once, and again whenever one is made. */
        VENUE_RESET(true, true),
        /** Links to venues take so many ms longer, the size, one way. */
        VENUE_SLOW(true, true),
        /** Links to venues carry so many bytes a second, the size. */
        VENUE_NARROW(true, true),
        /** A venue answers nothing at all to anyone, and is cold when it is back. */
        VENUE_DOWN(false, true),
        /** The same, but it answers each order with an error. */
        VENUE_FAILING(false, true),
        /** The same, but it turns each order away, and tells no wait. */
        VENUE_SHUT(false, true),
        /** The senders are told that venues drain, and after the length that they serve again. */
        VENUE_DRAIN(true, true),
        /** The agent answers a sender nothing, and all that it was asked when that is over. */
        AGENT_SILENT(true, false),
        /** Notes between senders and others are lost, both ways. */
        NOTES_CUT(true, true),
        /** Notes from a sender to others are lost; those to it still come. */
        NOTES_DEAF(true, true),
        /** This share of notes is lost, the size. */
        NOTES_LOST(true, true),
        /** Notes take so many ms longer, the size. */
        NOTES_SLOW(true, true),
        /** This share of notes comes twice, the size, and out of order. */
        NOTES_DOUBLED(true, true);

        private final boolean ofSenders;
        private final boolean ofOthers;

        Kind(boolean ofSenders, boolean ofOthers) {
            this.ofSenders = ofSenders;
            this.ofOthers = ofOthers;
        }

        /** Whether it strikes a process and not a link. */
        public boolean ofProcess() {
            return this == KILL || this == LOSE || this == TERM || this == STOP || this == STARVE;
        }

        /** Whether it strikes what a sender asks of its system. */
        public boolean ofCalls() {
            return switch (this) {
                case SOCKETS_FAIL, READS_INTERRUPTED, READS_SHORT, DISK_FAIL, CLOCK_AHEAD, CLOCK_BEHIND -> true;
                default -> false;
            };
        }

        /** Whether it strikes links: between senders and venues, or between senders. */
        public boolean ofLinks() {
            return switch (this) {
                case VENUE_SILENT, VENUE_DEAF, VENUE_MUTE, VENUE_REFUSE, VENUE_RESET, VENUE_SLOW, VENUE_NARROW -> true;
                default -> betweenSenders();
            };
        }

        /** Whether a venue is in an outage for all senders, and cold when it is back. */
        public boolean isOutage() {
            return this == VENUE_DOWN || this == VENUE_FAILING || this == VENUE_SHUT;
        }

        /** Whether it strikes notes, so that the others it names are senders too. */
        public boolean betweenSenders() {
            return name().startsWith("NOTES");
        }

        /** Whether it names what is at the other end of a link. */
        public boolean namesOthers() {
            return ofOthers;
        }

        /** Whether it names senders. */
        public boolean namesSenders() {
            return ofSenders;
        }

        /** As a schedule's file has it. */
        public String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** Checks what no schedule can mean. */
    public Fault {
        if (atMs < 0 || forMs < 0 || !(size >= 0) || size == Double.POSITIVE_INFINITY) {
            throw new IllegalArgumentException("times and sizes are 0 or more: " + atMs + ", " + forMs + ", " + size);
        }
        senders = List.copyOf(senders);
        others = List.copyOf(others);
    }

    /** When it is over. */
    public long endMs() {
        return atMs + forMs;
    }

    /** Whether it strikes this sender. */
    public boolean strikes(int sender) {
        return senders.isEmpty() || senders.contains(sender);
    }

    /** Whether it strikes a link between this sender and what is at the other end. */
    public boolean strikes(int sender, int other) {
        return strikes(sender) && (others.isEmpty() || others.contains(other));
    }
}

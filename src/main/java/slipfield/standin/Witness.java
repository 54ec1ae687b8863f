package slipfield.standin;

/** Is told of all that venues, desks and the platform see, on the thread that saw it, and of nothing that a sender says. */
public interface Witness {
    /** What was seen. */
    enum What {
        /** A desk hands an order in, to this sender where it is known; {@code value}: its budget in ms. */
        HANDED_IN,
        /** The order that was just handed in must not run twice. */
        MUST_NOT_REPEAT,
        /** The desk hears that it is taken on. */
        HEARD_TAKEN,
        /** The desk hears that it is not. */
        HEARD_REFUSED,
        /** A sender has read the desk's request and closed the connection without an answer. */
        UNANSWERED,
        /** A venue has an order whole, and runs it; {@code value}: 1 if it must not run twice, else 0. */
        RUN,
        /** A venue has an order whole, knows its key, and does not run it again; {@code value}: as for {@link #RUN}. */
        REPEAT,
        /** A venue turns an order away; {@code value}: the wait that it tells, in ms. */
        TURNED_AWAY,
        /** A venue has an order whole while it is out of order, and does nothing about it. */
        UNSERVED,
        /** A venue that is out of order answers an order with an error, and does not run it. */
        ERROR_ANSWERED,
        /** A sender has given up an order that the venue left unserved, or has seen its connection end: it has met the outage. */
        GIVEN_UP,
        /** A venue's 200 is written. */
        ANSWERED,
        /** The platform is told that an order is refused. */
        TOLD_REFUSED,
        /** The platform is told that an order has failed. */
        TOLD_FAILED,
        /** The machine that held an order is lost, and the order with it. */
        EXCUSED,
        /** A sender is told that a venue drains. */
        TOLD_DRAIN,
        /** A sender is told that a venue serves again. */
        TOLD_SERVING,
        /** A sender's event loop has waited for a core; {@code value}: for how long in this life, in ms. */
        CPU_DELAYED,
        /** A sender's process is told to end, by SIGTERM. */
        TERMINATED,
        /** A sender's process is stopped, by SIGSTOP. */
        PAUSED,
        /** It goes on, by SIGCONT. */
        CONTINUED,
        /** A sender's process is gone: what it knew of waits is over. */
        ENDED,
        /** A sender's process is there again, and takes orders. */
        BACK,
        /** A venue's trouble begins. */
        DOWN,
        /** It is over, and the venue is cold. */
        UP
    }

    /** Nobody watches. */
    Witness NOBODY = (what, order, sender, venue, value) -> { };

    /** Numbers that are not known, or don't matter, are -1; so is {@code value}. */
    void saw(What what, String order, int sender, int venue, double value);
}

package slipfield.core;

import java.net.SocketAddress;
import slipfield.journal.PendingMessage;
import slipfield.policy.DeliveryPolicy;

/**
 * A way to endpoints, as the core sees it: makes one attempt at a time for a message and reports its one end.
 * Called on the core's thread, and reports on it, never from within a call.
 */
public interface Transport {
    /** An attempt on its way. */
    interface Attempt {
        /** The message that it carries. */
        PendingMessage message();

        /** Which of the message's attempts it is, from 0. */
        int number();

        /** When it began, by {@link System#nanoTime}. */
        long startedNanos();

        /** Stops waiting for it; its end is still reported, as one that never ran where that is sure. */
        void cancel();
    }

    /** Told of the end of each attempt, once; asked before its first byte where that had to wait. */
    interface AttemptListener {
        /**
         * Whether an attempt that was decided a while ago may still begin, its connection having come up only now. False: not
         * one byte of it is written, and it ends as {@link DeliveryPolicy.AttemptOutcome#NOT_SENT}. Without anybody to decide
         * it may.
         */
        default boolean mayBegin(Attempt attempt) {
            return true;
        }

        /**
         * An attempt ended.
         *
         * @param gone the message is over, whatever else is true
         * @param waitMs the wait that the endpoint told, in milliseconds, or 0
         * @param told what the destination says of its limit
         */
        void ended(Attempt attempt, DeliveryPolicy.AttemptOutcome outcome, boolean gone, double waitMs,
                DeliveryPolicy.LimitReport told);
    }

    /** Begins to look after what it keeps open. */
    void start();

    /** An endpoint is at this address from now on; connections to another one are of no more use. */
    void updateEndpoint(long endpoint, SocketAddress address, boolean serving);

    /** Nothing new may go there, be it decided already. */
    void stop(long endpoint);

    /** An endpoint has been gone for long. */
    void forget(long endpoint);

    /**
     * Begins an attempt; its end is told once, within the time-out or soon after. That counts from when the
     * module decided.
     *
     * @param number which of the message's attempts it is, from 0
     * @param within its times, counted from {@code decidedNanos}; one that can't be written in time ends as
     *     {@link DeliveryPolicy.AttemptOutcome#NOT_SENT}
     */
    Attempt attempt(PendingMessage held, int number, long endpoint, DeliveryPolicy.AttemptTiming within, long decidedNanos);

    /** Closes idle connections to an endpoint; the next attempt there opens a new one. */
    void closeIdle(long endpoint);
}

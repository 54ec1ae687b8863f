package slipfield.core;

import java.net.SocketAddress;
import slipfield.journal.PendingMessage;
import slipfield.policy.DeliveryPolicy;

/**
 * Makes attempts to deliver messages to endpoints, and reports the end of each attempt exactly once. All methods are called on
 * the core's event loop; ends are reported on it too, never from within a call.
 */
public interface Transport {
    /** An attempt in progress. */
    interface Attempt {
        /** The message that is delivered. */
        PendingMessage message();

        /** The number of this attempt among those of the message, from 0. */
        int number();

        /**
         * Whether a byte of it may have been written. If not, {@link AttemptListener#mayBegin} is asked before the first one is.
         */
        boolean hasBegun();

        /** When the attempt started, by {@link System#nanoTime}. */
        long startedNanos();

        /**
         * Cancels the attempt. Its end is still reported: as one that never ran if it is certain that the endpoint has not
         * received the message.
         */
        void cancel();
    }

    /** Receives the end of each attempt, and decides whether a delayed attempt may still start. */
    interface AttemptListener {
        /**
         * Whether an attempt that has waited may begin, now that its connection is open, or its consumer has capacity. If false, not
         * one byte of it is written and it ends as {@link DeliveryPolicy.AttemptOutcome#NOT_SENT}. By default it may.
         */
        default boolean mayBegin(Attempt attempt) {
            return true;
        }

        /**
         * An attempt has ended.
         *
         * @param gone whether the endpoint reported that the message is over (HTTP 410); it counts as delivered then, whatever
         *     the outcome
         * @param waitMs the delay that the endpoint requested, in milliseconds, or 0
         * @param limitReport the rate limit that the destination reported
         */
        void ended(Attempt attempt, DeliveryPolicy.AttemptOutcome outcome, boolean gone, double waitMs,
                DeliveryPolicy.LimitReport limitReport);
    }

    /** Starts the maintenance of open connections. */
    void start();

    /** Sets the address of an endpoint. Connections to another address of it are not used any more. */
    void updateEndpoint(long endpoint, SocketAddress address, boolean serving);

    /** Starts no more attempts at an endpoint, not even those that are decided already. */
    void stop(long endpoint);

    /** Releases the state of an endpoint that left the endpoint list long ago. */
    void forget(long endpoint);

    /**
     * Starts an attempt. Its end is reported once, within the time-out or soon after; the time-out counts from when the attempt
     * was decided.
     *
     * @param number the number of the attempt among those of the message, from 0
     * @param timing its times, counted from {@code decidedNanos}; an attempt that can't be written in time ends as
     *     {@link DeliveryPolicy.AttemptOutcome#NOT_SENT}
     */
    Attempt attempt(PendingMessage message, int number, long endpoint, DeliveryPolicy.AttemptTiming timing, long decidedNanos);

    /** Closes the idle connections to an endpoint; the next attempt opens a new one. */
    void closeIdle(long endpoint);
}

package slipfield.policy;

import java.util.List;
import java.util.Optional;

/**
 * Decides when and to which endpoint each message of a sender is sent. The sender reports events by calling the methods of this
 * interface; the policy requests network operations through {@link Actions}.
 *
 * <p>One instance serves one sender and is called from one thread at a time. It reads no clock: each event carries the caller's
 * time in milliseconds, which must not decrease. All events between two calls of {@link #endIteration} belong to one event-loop
 * iteration and carry the same time. New sends are decided in {@code endIteration} only, so that messages of one iteration to one
 * endpoint can share a call. {@link Actions} may be called during any event and must be carried out in the order of the calls; an
 * action must not call back into the instance. Equal settings, seed and events produce equal actions.
 *
 * <p>Incorrect use (an unknown message or attempt, a repeated id, a decreasing time) throws {@link IllegalArgumentException} or
 * {@link IllegalStateException}. Events that can legitimately arrive late are ignored: the withdrawal of a message that has
 * ended, a wake-up that is no longer needed, a second end of one attempt.
 */
public interface DeliveryPolicy {
    /** Passed in place of an endpoint id where all endpoints of the destination share one rate limit. */
    long ALL_ROUTES = -1;

    /** Creates an instance without any messages or endpoints. The seed determines all random choices. */
    static DeliveryPolicy create(Settings settings, long seed, Actions actions) {
        return new WaveDeliveryPolicy(settings, seed, actions);
    }

    /**
     * The endpoint list has changed.
     *
     * @param whole true if {@code entries} is the complete list, false if it holds only the entries that differ from the last
     *     list
     */
    void endpointsChanged(double now, boolean whole, List<Endpoint> entries);

    /**
     * The sender has accepted a message. Before its deadline it gets exactly one final answer: delivered, refused or failed,
     * unless it is withdrawn.
     */
    void messageAccepted(double now, Message message);

    /**
     * A message that an earlier process of this sender accepted is restored from its journal. Restored messages are reported in
     * the order in which they were accepted.
     *
     * @param attempts the attempts that were made then, in their order. Numbers of further attempts continue from these. An
     *     attempt that was in flight when the process ended may have run. None of them holds a slot, and no end is reported for
     *     them
     */
    void messageRestored(double now, Message message, List<PreviousAttempt> attempts);

    /**
     * Restores the health of an endpoint as an earlier process last saved it with {@link Actions#saveHealth}, with its time
     * converted to this process's clock. Called before the messages of that process are restored; the endpoint need not be listed
     * yet.
     */
    void healthRestored(double now, long endpoint, Health health);

    /**
     * Restores the health of a destination as an earlier process last saved it with {@link Actions#saveDestinationHealth}, likewise.
     * An endpoint for which no health is restored starts in this state if none of the destination's listed endpoints is in service.
     */
    void destinationHealthRestored(double now, long destination, Health health);

    /**
     * Restores the send rate of a destination as an earlier process last saved it with {@link Actions#saveSendRate}.
     *
     * @param route the endpoint if the destination's endpoints are separate routes, otherwise {@link #ALL_ROUTES}
     */
    void sendRateRestored(double now, long destination, long route, SendRate rate);

    /** The sender will stop at the time {@code end}. From now on a call starts only if it is expected to end before then. */
    void shutdownScheduled(double now, double end);

    /**
     * Reports whether the journal can record attempts from now on. While it cannot, no attempt is started: after a restart the
     * process would not know of it, and the message could run twice. Messages wait and get their final answer by their deadline.
     */
    void recordingChanged(double now, boolean possible);

    /**
     * Returns whether an attempt of which no byte has been written yet may still be written. While its connection was being
     * established, the destination may have requested a delay, or the message may have ended. If false, the caller ends the
     * attempt as {@link AttemptOutcome#NOT_SENT}. This method changes no state and may be called outside an iteration.
     */
    boolean mayBegin(double now, long message, int attempt);

    /**
     * An attempt has ended. Each {@link Actions#send} leads to exactly one such event. If the attempt was delivered, the message
     * is finished and the policy gives no further answer for it.
     */
    void attemptEnded(double now, AttemptEnd end);

    /** The client has withdrawn the message: it is not sent any more and gets no final answer. */
    void messageWithdrawn(double now, long message);

    /** The time requested by {@link Actions#wakeAt} has come. Early and outdated calls do no harm. */
    void wake(double now);

    /** All events of this event-loop iteration have been reported: decides which waiting messages are sent now. */
    void endIteration(double now);

    /** Operations that the policy requests from the sender. */
    interface Actions {
        /**
         * Starts the next attempt of a message. Attempts are numbered 0, 1, 2 and so on within their message. Sends of one
         * iteration to one endpoint may share a call, up to the batch size of the destination's kind.
         */
        void send(long message, long endpoint, AttemptTiming timing);

        /** Stops waiting for an attempt whose result is not needed any more. Its end must still be reported. */
        void cancel(long message, int attempt);

        /** Closes this sender's idle connections to an endpoint, so that the next call opens a new one. */
        void closeIdle(long endpoint);

        /** Final answer: not delivered, and safe to submit again. The client should wait {@code retryAfterMs} before it does. */
        void refuse(long message, double retryAfterMs);

        /** Final answer: given up. The message may or may not have taken effect. */
        void fail(long message);

        /** Requests a call of {@link DeliveryPolicy#wake} at this time or soon after it. */
        void wakeAt(double time);

        /** Saves the changed health of an endpoint for the process after a restart. Without a journal nothing is saved. */
        default void saveHealth(long endpoint, Health health) {
        }

        /** Saves the changed health of a destination as a whole, which an endpoint that is new to it starts with, likewise. */
        default void saveDestinationHealth(long destination, Health health) {
        }

        /** Saves the changed send rate of a destination or of one of its routes, likewise. */
        default void saveSendRate(long destination, long route, SendRate rate) {
        }

        /** Writes a log line for operators. */
        void log(String text);

        /** The state of an endpoint has changed. */
        default void endpointChanged(EndpointChange change) {
            log("endpoint " + change.endpoint() + " " + change.reason());
        }

        /** The suspicion of an outage of a destination has begun or ended. The states of its endpoints are unchanged by this. */
        default void suspicionChanged(Suspicion suspicion) {
        }
    }

    /** A change of an endpoint's state, its reason, and the calls to its destination since the last delivery. */
    record EndpointChange(long endpoint, long destination, State from, State to, String reason,
            UndeliveredCalls undeliveredCalls) {
    }

    /**
     * Counts the failed and the refused calls to a destination since its last delivery; {@code since} is the time of the first.
     */
    record UndeliveredCalls(int failed, int refused, double since) {
    }

    /**
     * The beginning or the end of a suspected outage of a destination. While it lasts, calls to the destination are made one at a
     * time.
     *
     * @param endpoint the endpoint of the call that caused the change, or {@link #NONE}
     * @param message the message of that call, or {@link #NONE} if the cause is an overdue call or an attempt of an earlier
     *     process
     */
    record Suspicion(long destination, boolean begins, long endpoint, long message, UndeliveredCalls undeliveredCalls) {
        /** Stands for no endpoint or no message. */
        static final long NONE = -1;
    }

    /** Whether a message may be sent again after an attempt that may have run. */
    enum RepeatSafety {
        /** Repeated attempts are harmless. */
        SAFE,
        /** The destination drops repeats of the same key for a limited time, in some classes within one zone only. */
        KEYED,
        /** The message must not run twice. */
        UNSAFE
    }

    /** How an attempt ended. */
    enum AttemptOutcome {
        /** Delivered. */
        DELIVERED(false),
        /** The destination answered with an error; the message may have run. */
        ERROR(true),
        /** The destination refused the call without processing it: rate limit exceeded, queue full or shut down. */
        FULL(false),
        /** No answer in time; the message may have run or may still run. */
        TIMED_OUT(true),
        /** No connection could be established. */
        UNREACHABLE(false),
        /** The connection broke during the attempt; the message may have run. */
        BROKEN(true),
        /** The sender cancelled the attempt; the message may have run. */
        CANCELLED(true),
        /** Never sent, for example because no slot was free or the message had ended. */
        NOT_SENT(false);

        private final boolean mayHaveRun;

        AttemptOutcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }

        /** Returns whether an undelivered message may have taken effect all the same. False for {@link #DELIVERED}. */
        public boolean mayHaveRun() {
            return mayHaveRun;
        }
    }

    /**
     * An entry of the endpoint list. Messages for a destination are sent to its endpoints only.
     *
     * @param kind index into {@link Settings#kinds}
     * @param serving false if the endpoint takes no new calls
     * @param listedRate calls a second that the list states as the limit for all senders together, or 0 if it states none
     * @param removed true if the endpoint has left the list. Its state is dropped some time later, as is that of an endpoint that
     *     is missing in a complete list
     */
    record Endpoint(long id, long destination, int kind, int zone, boolean serving, double listedRate,
            boolean removed) {
        /** Replaces a rate that is negative, infinite or not a number by 0. */
        public Endpoint {
            listedRate = listedRate > 0 && listedRate < Double.POSITIVE_INFINITY ? listedRate : 0;
        }

        /** An endpoint that is in the list. */
        Endpoint(long id, long destination, int kind, int zone, boolean serving, double listedRate) {
            this(id, destination, kind, zone, serving, listedRate, false);
        }
    }

    /**
     * An accepted message.
     *
     * @param messageClass index into {@link Settings#classes}
     * @param key the ordering key, used by classes that keep an order
     * @param timeLeftMs the time left until the deadline
     */
    record Message(long id, int messageClass, int tenant, Optional<String> key, double timeLeftMs,
            long destination) {
    }

    /** An attempt made by an earlier process; {@code sentAt} is on this process's clock and usually before its start. */
    record PreviousAttempt(long endpoint, double sentAt, boolean mayHaveRun) {
    }

    /** The state that the policy assumes an endpoint to be in. */
    enum State {
        /** In service. */
        UP,
        /** In an outage: it receives single probes only. */
        DOWN,
        /** Answers again after an outage: its rate is limited by a slow start. */
        WARMING
    }

    /** An endpoint's state, the time since when it holds, and the rate of this sender's deliveries there before the outage. */
    record Health(State state, double since, double carriedPerMs) {
    }

    /**
     * The end of one attempt.
     *
     * @param tookMs the time from the start of the attempt to its end
     * @param finished whether the message has ended and needs no further answer
     * @param requestedDelayMs the delay that a refusing endpoint requested (Retry-After), or 0
     * @param limitReport what the answer reported of the destination's rate limit
     */
    record AttemptEnd(long message, int attempt, AttemptOutcome outcome, double tookMs, boolean finished,
            double requestedDelayMs, LimitReport limitReport) {
        /** An end without a report of the rate limit. */
        AttemptEnd(long message, int attempt, AttemptOutcome outcome, double tookMs, boolean finished, double requestedDelayMs) {
            this(message, attempt, outcome, tookMs, finished, requestedDelayMs, LimitReport.NOTHING);
        }
    }

    /**
     * What an answer reported of its destination's rate limit. Values that are not finite numbers or out of range count as not
     * reported.
     *
     * @param perSecond the calls a second that the destination takes from all senders together, or 0 if not reported
     * @param remainingShare the share of the limit that is unused at the moment, 0 to 1, or -1 if not reported
     */
    record LimitReport(double perSecond, double remainingShare) {
        /** Neither value was reported. */
        public static final LimitReport NOTHING = new LimitReport(0, -1);

        /** Replaces values that are out of range. */
        public LimitReport {
            perSecond = perSecond > 0 && perSecond < Double.POSITIVE_INFINITY ? perSecond : 0;
            remainingShare = perSecond > 0 && remainingShare >= 0 ? Math.min(remainingShare, 1) : -1;
        }

        /** Returns the remaining share, or {@code fallback} if it was not reported. */
        double remainingShareOr(double fallback) {
            return remainingShare < 0 ? fallback : remainingShare;
        }
    }

    /**
     * The rate at which this sender sends to a destination or route, in calls a millisecond.
     *
     * @param perMs the rate, infinite if it is not limited
     * @param reportedPerMs the limit of all senders together that answers reported, or 0 if none was reported
     */
    record SendRate(double perMs, double reportedPerMs) {
    }

    /**
     * Time limits of an attempt, in milliseconds from the time at which it was decided.
     *
     * @param timeoutMs the time after which the attempt is given up
     * @param latestWriteMs the time by which its last byte must be written, infinite if there is no such limit. An attempt that
     *     cannot meet it is not made
     */
    record AttemptTiming(double timeoutMs, double latestWriteMs) {
    }

    /** How the worth of a message decreases when it is delivered after its target latency, the aim. */
    enum Decay {
        /** Linearly, to the late worth at the deadline. */
        LINEAR,
        /** Halved with each further aim, but not below the late worth. */
        HALVING
    }

    /**
     * A class of messages. Times are in milliseconds.
     *
     * @param aimMs the target latency
     * @param worth the value of a message that is delivered within the target latency
     * @param lateWorth the smallest share of {@code worth} that a message keeps until its deadline, 0 to 1
     * @param sameZone whether the destination recognizes repeats of a key only within one zone
     * @param deduplicationWindowMs how long the destination recognizes repeats of a key
     * @param inOrder whether messages of one key are delivered one at a time, in the order of acceptance
     */
    record MessageClass(double aimMs, double deadlineMs, double worth, double lateWorth, RepeatSafety repeatSafety,
                        boolean sameZone, double deduplicationWindowMs, boolean inOrder) {
    }

    /**
     * A kind of destination.
     *
     * @param separateRoutes whether each endpoint has a rate limit of its own
     * @param batchSize the largest number of messages in one call
     */
    record Kind(boolean separateRoutes, int batchSize) {
    }

    /**
     * The load that a destination tolerates after an outage.
     *
     * @param startCapacity its capacity right after the return, as a share of its full capacity
     * @param warmUpMs the time in which the capacity rises linearly to the full value
     * @param overloadMultiple the multiple of the present capacity above which a destination fails again
     * @param overloadMs the time span over which that load is counted
     */
    record ColdStart(double startCapacity, double warmUpMs, double overloadMultiple, double overloadMs) {
    }

    /**
     * The settings of a deployment and of one sender.
     *
     * @param ratesListed whether the endpoint list states rates
     * @param zoneFees the fee of a call by zone, charged for separate routes only
     * @param senders the number of senders in the fleet
     * @param slots the largest number of calls in flight
     * @param hedging whether a second attempt may be sent while another one of the message is in flight
     * @param cancelsRedundant whether attempts in flight may be cancelled
     * @param keyPauseMs the pause of an ordering key after an attempt that may still be running
     * @param keepAliveMs the time after which an unused connection is closed
     */
    record Settings(List<MessageClass> classes, List<Kind> kinds, boolean ratesListed, Decay decay,
                    List<Double> zoneFees, int senders, int slots, int maxAttempts, boolean hedging,
                    boolean cancelsRedundant, double keyPauseMs, double keepAliveMs, ColdStart coldStart) {
        /** Rejects settings without classes or kinds, and numbers below 1. */
        public Settings {
            if (classes.isEmpty() || kinds.isEmpty()) {
                throw new IllegalArgumentException("settings need at least one message class and one destination kind");
            }
            if (slots < 1 || maxAttempts < 1 || senders < 1) {
                throw new IllegalArgumentException("slots, maxAttempts and senders must be at least 1");
            }
            classes = List.copyOf(classes);
            kinds = List.copyOf(kinds);
            zoneFees = List.copyOf(zoneFees);
        }
    }
}

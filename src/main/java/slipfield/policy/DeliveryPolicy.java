package slipfield.policy;

import java.util.List;
import java.util.Optional;

/**
 * The decision module's interface: what a sender tells it, what it tells the sender, and the values that
 * pass.
 *
 * <p>Contract. One instance serves one sender and is called from one thread at a time. It has no clock: each
 * event carries the caller's time in milliseconds, which never goes back. Events between two calls of {@link
 * #endIteration} form a turn and share one time; new sends are decided in {@code endIteration} only, so that those of
 * one turn to one endpoint can share a call. {@link Actions} may be called during any event, in the order in
 * which they are meant; an action must not call back into the instance. Equal settings, seed and events give
 * equal actions.
 *
 * <p>Misuse (an unknown message or attempt, a repeated id, a clock that goes back) throws {@link
 * IllegalArgumentException} or {@link IllegalStateException}; what may arrive late by nature (a withdrawal of
 * an ended message, a wake that is no longer needed, a second end of one attempt) is ignored.
 */
public interface DeliveryPolicy {
    /** In place of a route: its destination's endpoints share one limit. */
    long ALL_ROUTES = -1;

    /** A new instance, with no state; equal settings, seeds and events give equal actions. */
    static DeliveryPolicy create(Settings settings, long seed, Actions actions) {
        return new WaveDeliveryPolicy(settings, seed, actions);
    }

    /**
     * The list of endpoints changed: the whole list, or only the entries that differ from the list before.
     */
    void endpointsChanged(double now, boolean whole, List<Endpoint> entries);

    /**
     * The sender has taken a message; exactly one of delivered, refused or failed ends it before its time is
     * up.
     */
    void messageAccepted(double now, Message message);

    /**
     * A message that an earlier life of this sender took comes back from its journal, with the attempts made
     * then, in their order; further ones are numbered on from these. One that was out when that life ended
     * may have run; none of them holds a slot or gets an end any more. Messages come in the order taken.
     */
    void messageRestored(double now, Message message, List<PreviousAttempt> attempts);

    /**
     * The health of an endpoint as it was last told by {@link Actions#saveHealth} in an earlier life, with its
     * time on this life's clock; told before the messages of that life, be the endpoint listed yet or not.
     */
    void healthRestored(double now, long endpoint, Health health);

    /**
     * The pace of a destination, or of one of its endpoints where these are separate routes ({@link #ALL_ROUTES}
     * where not), as it was last told by {@link Actions#saveSendRate} in an earlier life.
     */
    void sendRateRestored(double now, long destination, long route, SendRate pace);

    /**
     * The sender will stop at this time: no call starts any more that can't be expected to end before it.
     */
    void shutdownScheduled(double now, double end);

    /**
     * Whether attempts can be recorded from now on. While they can't, none is decided: one that a later life does not know of
     * could run twice. Messages wait, and end in their time.
     */
    void recordingChanged(double now, boolean possible);

    /**
     * Whether an attempt that is out, and not one byte of it yet, may still begin: its connection took its time, and its
     * destination may have told a wait meanwhile, or its message be over. False: it ends as {@link AttemptOutcome#NOT_SENT}.
     * Changes nothing, and takes no turn.
     */
    boolean mayBegin(double now, long message, int attempt);

    /**
     * An attempt has ended; each {@link Actions#send} gets exactly one. A delivered end finishes the message
     * without a further answer from the module.
     */
    void attemptEnded(double now, AttemptEnd end);

    /** Nobody waits for this message any more; no answer is owed. */
    void messageWithdrawn(double now, long message);

    /** A wake asked for by {@link Actions#wakeAt} has come; early and stale ones do no harm. */
    void wake(double now);

    /** All events of this turn have been told: queued sends are decided now. */
    void endIteration(double now);

    /** What the module asks of the sender. */
    interface Actions {
        /**
         * Start the next attempt of a message, numbered 0, 1, 2 and so on within it. Sends of one turn to one
         * endpoint may share a call, up to the kind's batch.
         */
        void send(long message, long endpoint, AttemptTiming within);

        /** Stop waiting for an attempt that is redundant; its end is still reported. */
        void cancel(long message, int attempt);

        /** Close this sender's idle connections to an endpoint; its next call opens a new one. */
        void closeIdle(long endpoint);

        /**
         * Final: handed back, and trying again is harmless; the client should stay away for the given time.
         */
        void refuse(long message, double waitMs);

        /** Final: given up, with no promise about its effect. */
        void fail(long message);

        /** Call {@link DeliveryPolicy#wake} in a turn at or soon after this time. */
        void wakeAt(double time);

        /**
         * An endpoint's health has changed: a later life needs to know, if there can be one. Without a
         * journal there is none.
         */
        default void saveHealth(long endpoint, Health health) {
        }

        /** The pace of a destination, or of a route, has changed: the same. */
        default void saveSendRate(long destination, long route, SendRate pace) {
        }

        /** A line for the people on call. */
        void log(String text);

        /** What an endpoint is held to be has changed. */
        default void endpointChanged(EndpointChange change) {
            log("endpoint " + change.endpoint() + " " + change.reason());
        }

        /** A destination is suspected of an outage, or no more: below what changes the state of an endpoint. */
        default void suspicionChanged(Suspicion suspicion) {
        }
    }

    /** A change of an endpoint's state, why, and what its destination's calls came to since the last delivery. */
    record EndpointChange(long endpoint, long destination, State from, State to, String reason,
            UndeliveredCalls undeliveredCalls) {
    }

    /** Calls to a destination that failed and were refused since the last one that was delivered; {@code since}: the first. */
    record UndeliveredCalls(int failed, int refused, double since) {
    }

    /**
     * Calls to a destination go out one at a time from now on, or no more do. The endpoint and the message are those of the call
     * that made the difference; no message where a call is out for long, neither where an earlier life had one.
     */
    record Suspicion(long destination, boolean begins, long endpoint, long message, UndeliveredCalls undeliveredCalls) {
        /** In place of an endpoint or a message. */
        static final long NONE = -1;
    }

    /** What another attempt of a message may do. */
    enum RepeatSafety {
        /** Repeating is harmless. */
        SAFE,
        /** The destination drops repeats of the key for a time, within a group of endpoints. */
        KEYED,
        /** It must not run twice. */
        UNSAFE
    }

    /** How an attempt ended. */
    enum AttemptOutcome {
        /** Delivered. */
        DELIVERED(false),
        /** Answered with an error; it may have run. */
        ERROR(true),
        /** Turned away unseen: over the limit, queue full or shut. */
        FULL(false),
        /** No answer in time; it may have run or still do so. */
        TIMED_OUT(true),
        /** No connection was made. */
        UNREACHABLE(false),
        /** The connection broke while the attempt was out; it may have run. */
        BROKEN(true),
        /** Cancelled; it may have run. */
        CANCELLED(true),
        /** Never sent: no slot was free, or the message was over. */
        NOT_SENT(false);

        private final boolean mayHaveRun;

        AttemptOutcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }

        /** True where the end leaves open whether the message took effect, unless it was delivered. */
        public boolean mayHaveRun() {
            return mayHaveRun;
        }
    }

    /**
     * One entry of the list; the endpoints of a destination are the only ones that its messages may go to. One
     * that is gone, as is any that a whole list does not name, is forgotten before long.
     */
    record Endpoint(long id, long destination, int kind, int zone, boolean serving, double listedRate,
            boolean removed) {
        /** A rate that can't be meant counts as none. */
        public Endpoint {
            listedRate = listedRate > 0 && listedRate < Double.POSITIVE_INFINITY ? listedRate : 0;
        }

        /** One that is there. */
        Endpoint(long id, long destination, int kind, int zone, boolean serving, double listedRate) {
            this(id, destination, kind, zone, serving, listedRate, false);
        }
    }

    /**
     * A message as it was taken. {@code timeLeftMs} is what is left of its class's deadline; {@code key} is
     * set for classes that keep an order.
     */
    record Message(long id, int messageClass, int tenant, Optional<String> key, double timeLeftMs,
            long destination) {
    }

    /** An attempt made in an earlier life; {@code sentAt} is on this life's clock, mostly before its start. */
    record PreviousAttempt(long endpoint, double sentAt, boolean mayHaveRun) {
    }

    /** What an endpoint is held to be. */
    enum State {
        /** In service. */
        UP,
        /** In an outage: it gets trials only. */
        DOWN,
        /** Back from an outage, and cold. */
        WARMING
    }

    /** An endpoint's state, since when, and the rate that it carried for this sender before an outage. */
    record Health(State state, double since, double carriedPerMs) {
    }

    /**
     * The end of one attempt. {@code finished} tells that the message needs no further answer; {@code waitMs}
     * is the wait that a full destination told, or 0; {@code told} what its answer told of its limit.
     */
    record AttemptEnd(long message, int attempt, AttemptOutcome outcome, double tookMs, boolean finished,
            double requestedDelayMs, LimitReport limitReport) {
        /** An end that tells nothing of a limit. */
        AttemptEnd(long message, int attempt, AttemptOutcome outcome, double tookMs, boolean finished, double waitMs) {
            this(message, attempt, outcome, tookMs, finished, waitMs, LimitReport.NOTHING);
        }
    }

    /**
     * What an answer told of its destination's limit: the calls a second that this takes from all senders
     * together, and the share of them that is left just now. What is no figure, not above 0, or without end
     * counts as not told: 0 for the rate, -1 for the share, which is 1 at most.
     */
    record LimitReport(double perSecond, double remainingShare) {
        /** Nothing was told. */
        public static final LimitReport NOTHING = new LimitReport(0, -1);

        /** Takes what can't be meant for not told. */
        public LimitReport {
            perSecond = perSecond > 0 && perSecond < Double.POSITIVE_INFINITY ? perSecond : 0;
            remainingShare = perSecond > 0 && remainingShare >= 0 ? Math.min(remainingShare, 1) : -1;
        }

        /** The share that is left, or what stands for its not being told. */
        double remainingShareOr(double fallback) {
            return remainingShare < 0 ? fallback : remainingShare;
        }
    }

    /**
     * A pace in calls a millisecond, infinite where there is none, and the rate that its answers told, or 0.
     */
    record SendRate(double perMs, double reportedPerMs) {
    }

    /**
     * Times of an attempt, in milliseconds from when it was decided: its time-out, and until when its last byte
     * may be written; endless where that does not matter. One that is not under way by then is not made.
     */
    record AttemptTiming(double timeoutMs, double latestWriteMs) {
    }

    /** What worth falls to after the aim: evenly to the last, or by half with each further aim. */
    enum Decay {
        /** Evenly, down to the late worth at the deadline. */
        LINEAR,
        /** By half with each further aim, the late worth at least. */
        HALVING
    }

    /**
     * A class of message; times in milliseconds. {@code sameZone}: repeats are dropped within one zone only.
     */
    record MessageClass(double aimMs, double deadlineMs, double worth, double lateWorth, RepeatSafety repeatSafety,
                        boolean sameZone, double deduplicationWindowMs, boolean inOrder) {
    }

    /**
     * A kind of destination: whether its endpoints are separate routes, and how many messages one call
     * carries.
     */
    record Kind(boolean separateRoutes, int batchSize) {
    }

    /**
     * How a destination that returns from an outage must be treated; see the rule on returning destinations.
     */
    record ColdStart(double startCapacity, double warmUpMs, double overloadMultiple, double overloadMs) {
    }

    /**
     * All settings of a deployment and a sender; {@code zoneFees} are by zone, for separate routes, and
     * {@code ratesListed} tells that the list's rates mean something; a connection without use closes after
     * {@code keepAliveMs}.
     */
    record Settings(List<MessageClass> classes, List<Kind> kinds, boolean ratesListed, Decay decay,
                    List<Double> zoneFees, int senders, int slots, int maxAttempts, boolean hedging,
                    boolean cancelsRedundant, double keyPauseMs, double keepAliveMs, ColdStart coldStart) {
        /** Checks what no deployment can mean. */
        public Settings {
            if (classes.isEmpty() || kinds.isEmpty()) {
                throw new IllegalArgumentException("settings need at least one class and one kind");
            }
            if (slots < 1 || maxAttempts < 1 || senders < 1) {
                throw new IllegalArgumentException("slots, attempts and senders must be at least 1");
            }
            classes = List.copyOf(classes);
            kinds = List.copyOf(kinds);
            zoneFees = List.copyOf(zoneFees);
        }
    }
}

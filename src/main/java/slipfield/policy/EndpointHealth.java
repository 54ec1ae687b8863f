package slipfield.policy;

import slipfield.policy.DeliveryPolicy.State;

/**
 * One endpoint's health, from the ends of its calls: in service, in an outage (only single trials go there), or back from one and
 * cold. It holds against endpoints that refuse connections, fail, hang or are shut; it may hurt where one is merely slow.
 * Pure; times in ms.
 */
final class EndpointHealth {
    /** Evidence, 0 to 1: each bad end closes this share of the gap to 1, each good one multiplies it. */
    private static final double FAILURE_WEIGHT = 0.2;
    private static final double UNREACHABLE_WEIGHT = 0.6;
    private static final double GOOD_FACTOR = 0.6;
    /** From here on an endpoint counts as down: five failures in a row, or a failed connect. */
    private static final double DOWN_AT = 0.6;
    /** Overdue calls without any answer since, after which an endpoint counts as silent. */
    private static final int SILENT_CALLS = 2;
    /** Bad ends or refusals in a row over at least so long, without a delivery, mean shut or dead. */
    private static final int SHUT_ENDS = 3;
    static final double SHUT_MS = 2500;

    private final double warmMs;
    private final Listener listener;
    private State state = State.UP;
    private double bad;
    private int silentCalls;
    private int fruitless;
    private double fruitlessSince;
    private double fruitlessAt;
    private double lastGood = Double.NEGATIVE_INFINITY;
    private double downAt = Double.NEGATIVE_INFINITY;
    /** When it went down last, it had been in service for as long as it may stay cold. */
    private boolean fromService;
    /** About when it came back; its first answer since, it came back no later. */
    private double warmSince;
    private double answeredAt;
    private boolean silentOnly;
    /** Since it is down it has failed or refused calls, not only connections. */
    private boolean failing;

    /** Is told of each change of state, when it is made. */
    interface Listener {
        void changed(State from, State to, String reason);
    }

    /** In service, from this time on; it stays cold for so long after an outage. */
    EndpointHealth(double now, double warmMs, Listener listener) {
        this.fruitlessAt = now;
        this.warmMs = warmMs;
        this.listener = listener;
    }

    State state() {
        return state;
    }

    /** Failed, refused and overdue calls since the last delivery. */
    int undeliveredCount() {
        return fruitless;
    }

    /** When a call was delivered last, or without end in the past. */
    double lastGood() {
        return lastGood;
    }

    /** About when it came back from its last outage. */
    double recoveredAt() {
        return warmSince;
    }

    /** When it is warm at the latest, if it is warming. */
    double warmAt() {
        return answeredAt + warmMs;
    }

    void delivered(double now, double sentAt) {
        // No outage that would leave it cold fits between deliveries so close together, unless some calls pass in it.
        boolean blip = !failing && fromService && now - lastGood < SHUT_MS;
        bad *= GOOD_FACTOR;
        silentCalls = 0;
        fruitless = 0;
        lastGood = now;
        if (state == State.DOWN && silentOnly && sentAt < downAt) {
            change(State.UP, "was slow, not silent");
        } else if (state == State.DOWN && blip) {
            change(State.UP, "was not out");
        } else if (state == State.DOWN) {
            // Back since its last trial, in the mean halfway: thin traffic tries every few seconds.
            warmSince = now - Math.min(now - fruitlessAt, warmMs) / 2;
            answeredAt = now;
            change(State.WARMING, "answers again, warming");
        }
        endSlowStartIfDue(now);
    }

    /** A call was turned away; {@code waitMs} is the wait that was told, or 0. */
    void refused(double now, double waitMs) {
        if (lastsFruitless(now) || waitMs >= SHUT_MS) {
            down(now, "is shut");
            failing = true;
        }
        endSlowStartIfDue(now);
    }

    void unreachable(double now) {
        bad(now, UNREACHABLE_WEIGHT, "refuses connections");
    }

    /** A call was answered with an error, or got no answer. */
    void failed(double now) {
        bad(now, FAILURE_WEIGHT, "loses calls");
        failing |= state == State.DOWN;
    }

    /** A call is out for longer than a usual answer takes. Returns whether nothing was delivered since it was sent. */
    boolean overdue(double now, double sentAt) {
        if (lastGood >= sentAt) {
            return false;
        }
        if (++silentCalls >= SILENT_CALLS) {
            boolean wasDown = state == State.DOWN;
            down(now, "is silent");
            silentOnly = !wasDown;
        }
        return true;
    }

    /** Its destination is in an outage, as calls to any of its endpoints show; {@code lost}: not only connections failed. */
    void destinationOutage(double now, boolean lost) {
        fruitlessAt = now;
        down(now, "may be out with its destination");
        failing |= lost;
    }

    /** Its time in the cold may be over though no call has ended meanwhile. */
    void endSlowStartIfDue(double now) {
        if (state == State.WARMING && now >= warmAt()) {
            change(State.UP, "is warm");
        }
    }

    /** Goes on where an earlier life ended. */
    void recall(State before, double since) {
        state = before;
        if (state == State.WARMING) {
            warmSince = since;
            answeredAt = since;
        }
    }

    private void bad(double now, double weight, String symptom) {
        bad += (1 - bad) * weight;
        if (lastsFruitless(now) || bad >= DOWN_AT) {
            down(now, symptom);
        }
        endSlowStartIfDue(now);
    }

    private boolean lastsFruitless(double now) {
        fruitlessSince = fruitless++ == 0 ? now : fruitlessSince;
        fruitlessAt = now;
        return fruitless >= SHUT_ENDS && now - fruitlessSince >= SHUT_MS;
    }

    private void down(double now, String symptom) {
        silentOnly = false;
        if (state != State.DOWN) {
            fromService = state == State.UP && now - downAt > warmMs;
            downAt = now;
            failing = false;
            change(State.DOWN, symptom + ", trials only");
        }
    }

    private void change(State next, String reason) {
        State from = state;
        state = next;
        listener.changed(from, next, reason);
    }
}

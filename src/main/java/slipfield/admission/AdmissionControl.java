package slipfield.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Refuses messages that could not get a final answer in time, and says when the client may come back. A message is refused
 * while the limit of pending messages is reached, while the event loop runs late, and while more messages wait for its
 * destination than this has been observed to take in the time that the message has left.
 *
 * <p>The throughput of a destination is the best two-second interval of the last minute. An outage therefore does not count
 * as slowness: it may end at any moment, and the messages that waited for it then go out. If deliveries continued for several
 * seconds while messages were waiting throughout, these show what the destination takes now and limit the estimate. Without
 * any observation no message is refused for its destination. All times are in milliseconds.
 */
public final class AdmissionControl {
    /** A client waits 400 ms for its answer: an event loop that is later than this has more work than it can do. */
    static final double OVERLOAD_LATENESS_MS = 300;
    /** Less lateness than this is chance, not overload. */
    static final double MIN_LATENESS_MS = 50;
    /** A loop that is late accepts no message with less time left than this. */
    static final double MIN_LEFT_MS = 300;
    /** How long a lateness counts after it was recorded, because it is recorded only now and then. */
    static final double LATENESS_VALID_MS = 500;
    /** Destinations with fewer waiting messages are never refused: there is too little to measure. */
    static final int MIN_WAITING = 16;
    private static final double INTERVAL_MS = 2000;
    private static final double HISTORY_MS = 60_000;
    /** Consecutive complete intervals with deliveries, and with messages waiting throughout, that count as steady. */
    private static final int STEADY_INTERVALS = 3;
    /** The estimate may exceed the best of the steady intervals by this factor: a recovering endpoint gets faster. */
    private static final double STEADY_MARGIN = 2;
    private static final double MIN_RETRY_AFTER_MS = 200;

    private final int maxPending;
    private final Map<Long, Load> loads = new HashMap<>();
    private double late;
    private double lateAt = Double.NEGATIVE_INFINITY;

    /** Accepts messages while fewer than {@code maxPending} are pending. */
    public AdmissionControl(int maxPending) {
        this.maxPending = maxPending;
    }

    /**
     * The decision about one message.
     *
     * @param reason why it was refused; empty if accepted
     * @param retryAfterMs after which time a refused client may come back; 0 if accepted
     * @param destinationOnly the refusal concerns this destination only, not the whole sender
     */
    public record Decision(boolean accepted, String reason, long retryAfterMs, boolean destinationOnly) {
        private static final Decision ACCEPTED = new Decision(true, "", 0, false);
    }

    /** Decides about a message for this destination with {@code leftMs} left, while {@code pending} messages are pending. */
    public Decision admit(double now, long destination, double leftMs, int pending) {
        if (pending >= maxPending) {
            return refused("as many messages are held as may be", waitFor(now, pending - maxPending + 1), false);
        }
        if (isLate(now) && (late >= OVERLOAD_LATENESS_MS || leftMs < MIN_LEFT_MS)) {
            return refused("the sender is behind", late, false);
        }
        Load load = loads.get(destination);
        if (load != null && load.waiting >= MIN_WAITING) {
            double rate = load.perMs(now);
            if (rate > 0 && load.waiting / rate > leftMs) {
                return refused("more waits for this dest than it takes in that time",
                        load.waiting / rate - leftMs, true);
            }
        }
        return Decision.ACCEPTED;
    }

    private static Decision refused(String reason, double waitMs, boolean destinationOnly) {
        return new Decision(false, reason, (long) Math.ceil(Math.max(waitMs, MIN_RETRY_AFTER_MS)), destinationOnly);
    }

    /** Returns how long this many deliveries take at the summed rate of all destinations; 0 if no rate is known. */
    private double waitFor(double now, int deliveries) {
        double rate = 0;
        for (Load load : loads.values()) {
            rate += load.perMs(now);
        }
        return rate > 0 ? deliveries / rate : 0;
    }

    /**
     * Returns whether a due task ran noticeably late a moment ago. A request may then have been unread for a long time, and
     * one with little time left may be over before its final answer can be sent.
     */
    public boolean isLate(double now) {
        return now - lateAt < LATENESS_VALID_MS && late >= MIN_LATENESS_MS;
    }

    /** Counts a message for this destination as pending from now on. */
    public void messageAdded(double now, long destination) {
        Load load = loads.computeIfAbsent(destination, d -> new Load());
        if (load.waiting++ == 0) {
            load.busySince = now;
        }
    }

    /** Counts a pending message as finished; {@code delivered}: by a delivery. */
    public void messageEnded(double now, long destination, boolean delivered) {
        Load load = loads.get(destination);
        if (load == null) {
            return;
        }
        load.waiting = Math.max(0, load.waiting - 1);
        if (delivered) {
            load.count(now);
        }
    }

    /** Records that a due task ran {@code lateMs} late. At least half of the previous lateness is kept while that is valid. */
    public void recordLateness(double now, double lateMs) {
        late = now - lateAt < LATENESS_VALID_MS ? Math.max(lateMs, late / 2) : lateMs;
        lateAt = now;
    }

    /** The messages that wait for a destination, and its recent deliveries. */
    private static final class Load {
        private final Deque<Interval> intervals = new ArrayDeque<>();
        private int waiting;
        private double busySince;

        private static final class Interval {
            private final double from;
            private int deliveries;

            private Interval(double from) {
                this.from = from;
            }
        }

        private void count(double now) {
            if (intervals.isEmpty() || now - intervals.peekLast().from >= INTERVAL_MS) {
                intervals.addLast(new Interval(now));
            }
            while (now - intervals.peekFirst().from > HISTORY_MS) {
                intervals.removeFirst();
            }
            intervals.peekLast().deliveries++;
        }

        /**
         * Returns the estimated rate at which the destination takes messages, per ms; 0 if nothing was observed yet. A first
         * interval that has only just begun is no evidence: taken for a complete one, the first delivery after a start would
         * be a rate of one in two seconds, and a client that obeys the wait computed from it would stay away for a minute.
         */
        private double perMs(double now) {
            if (intervals.isEmpty() || now - intervals.peekFirst().from < INTERVAL_MS) {
                return 0;
            }
            int most = 0;
            int steady = 0;
            int steadyMost = 0;
            double next = now;
            for (Iterator<Interval> back = intervals.descendingIterator(); back.hasNext();) {
                Interval interval = back.next();
                if (now - interval.from > HISTORY_MS) {
                    break;
                }
                most = Math.max(most, interval.deliveries);
                boolean complete = now - interval.from >= INTERVAL_MS;
                boolean unbroken = next - interval.from < 2 * INTERVAL_MS && interval.from >= busySince;
                next = unbroken ? interval.from : Double.POSITIVE_INFINITY;
                if (unbroken && complete && steady < STEADY_INTERVALS) {
                    steady++;
                    steadyMost = Math.max(steadyMost, interval.deliveries);
                }
            }
            if (waiting > 0 && steady == STEADY_INTERVALS) {
                return Math.min(most, STEADY_MARGIN * steadyMost) / INTERVAL_MS;
            }
            return most / INTERVAL_MS;
        }
    }
}

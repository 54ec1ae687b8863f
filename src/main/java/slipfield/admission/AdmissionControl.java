package slipfield.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Refuses, with the time to come back, what could not be ended in time: above the most that may be held, while
 * the loop itself is late, and where more waits for a destination than it has ever been seen to take in the time
 * that the message has.
 *
 * <p>How fast held work goes is taken as the most that any stretch of two seconds of the last minute showed, so
 * an outage does not count as slowness: it may end at any moment, and what was held for it then goes out. Only
 * where deliveries went on for some seconds with more waiting all the while do these show what the destination
 * takes now. Without evidence nothing is refused here. Times are milliseconds.
 */
public final class AdmissionControl {
    /** A client waits 400 ms for its answer: a loop that is later than this has more work than it can do. */
    static final double LATE_MS = 300;
    /** What is a little late by chance is not behind. */
    static final double NOTICED_MS = 50;
    /** A loop that is late takes nothing on that has less time left. */
    static final double LEAST_LEFT_MS = 300;
    /** Lateness is believed for so long: it is seen only now and then. */
    static final double LATE_MEMORY_MS = 500;
    /** A destination with fewer waiting messages is never refused: too little to measure by. */
    static final int FEW = 16;
    private static final double STRETCH_MS = 2000;
    private static final double MEMORY_MS = 60_000;
    /** So many whole stretches with deliveries, one after the other and messages waiting all the while. */
    private static final int STEADY = 3;
    /** What the most of these may fall short of by: an endpoint that comes back cold gets faster. */
    private static final double STEADY_MARGIN = 2;
    private static final double LEAST_WAIT_MS = 200;

    private final int mostHeld;
    private final Map<Long, Work> works = new HashMap<>();
    private double late;
    private double lateAt = Double.NEGATIVE_INFINITY;

    /** Holds so many messages at most. */
    public AdmissionControl(int mostHeld) {
        this.mostHeld = mostHeld;
    }

    /**
     * Taken on, or refused for a reason; a refused client may come back after so long, 0 if not known; {@code
     * destination}: that is so of this destination alone.
     */
    public record Decision(boolean accepted, String reason, long retryAfterMs, boolean destinationOnly) {
        private static final Decision ACCEPTED = new Decision(true, "", 0, false);
    }

    /** Whether a message for this destination, with so much time left, is taken on while so many are held. */
    public Decision admit(double now, long destination, double leftMs, int held) {
        if (held >= mostHeld) {
            return refused("as many messages are held as may be", waitFor(now, held - mostHeld + 1), false);
        }
        if (isLate(now) && (late >= LATE_MS || leftMs < LEAST_LEFT_MS)) {
            return refused("the sender is behind", late, false);
        }
        Work work = works.get(destination);
        if (work != null && work.waiting >= FEW) {
            double rate = work.perMs(now);
            if (rate > 0 && work.waiting / rate > leftMs) {
                return refused("more waits for this dest than it takes in that time",
                        work.waiting / rate - leftMs, true);
            }
        }
        return Decision.ACCEPTED;
    }

    private static Decision refused(String reason, double waitMs, boolean destination) {
        return new Decision(false, reason, (long) Math.ceil(Math.max(waitMs, LEAST_WAIT_MS)), destination);
    }

    /** When so many of those held will have ended, at the pace of them all. */
    private double waitFor(double now, int ends) {
        double rate = 0;
        for (Work work : works.values()) {
            rate += work.perMs(now);
        }
        return rate > 0 ? ends / rate : 0;
    }

    /**
     * Whether something due was done noticeably late a moment ago: then a request may have stood unread for long,
     * and one with little time left may be over before its end can be told.
     */
    public boolean isLate(double now) {
        return now - lateAt < LATE_MEMORY_MS && late >= NOTICED_MS;
    }

    /** A message for this destination is held from now on. */
    public void messageAdded(double now, long destination) {
        Work work = works.computeIfAbsent(destination, d -> new Work());
        if (work.waiting++ == 0) {
            work.busySince = now;
        }
    }

    /** One that was held is no more; {@code delivered}: by a delivery. */
    public void messageEnded(double now, long destination, boolean delivered) {
        Work work = works.get(destination);
        if (work == null) {
            return;
        }
        work.waiting = Math.max(0, work.waiting - 1);
        if (delivered) {
            work.count(now);
        }
    }

    /** Something that was due was done so much later. */
    public void recordLateness(double now, double lateMs) {
        late = now - lateAt < LATE_MEMORY_MS ? Math.max(lateMs, late / 2) : lateMs;
        lateAt = now;
    }

    /** What waits for a destination, and how fast it went. */
    private static final class Work {
        private final Deque<Stretch> stretches = new ArrayDeque<>();
        private int waiting;
        private double busySince;

        private static final class Stretch {
            private final double from;
            private int ends;

            private Stretch(double from) {
                this.from = from;
            }
        }

        private void count(double now) {
            if (stretches.isEmpty() || now - stretches.peekLast().from >= STRETCH_MS) {
                stretches.addLast(new Stretch(now));
            }
            while (now - stretches.peekFirst().from > MEMORY_MS) {
                stretches.removeFirst();
            }
            stretches.peekLast().ends++;
        }

        /**
         * The rate at which the destination takes messages, as far as was seen; 0 where nothing was. A stretch that has
         * just begun shows nothing yet: taken for a whole one, the first delivery after a start would be a rate of one
         * in two seconds, and whoever heeds the wait that follows from it stays away for a minute.
         */
        private double perMs(double now) {
            if (stretches.isEmpty() || now - stretches.peekFirst().from < STRETCH_MS) {
                return 0;
            }
            int most = 0;
            int steady = 0;
            int steadyMost = 0;
            double next = now;
            for (Iterator<Stretch> back = stretches.descendingIterator(); back.hasNext();) {
                Stretch stretch = back.next();
                if (now - stretch.from > MEMORY_MS) {
                    break;
                }
                most = Math.max(most, stretch.ends);
                boolean whole = now - stretch.from >= STRETCH_MS;
                boolean unbroken = next - stretch.from < 2 * STRETCH_MS && stretch.from >= busySince;
                next = unbroken ? stretch.from : Double.POSITIVE_INFINITY;
                if (unbroken && whole && steady < STEADY) {
                    steady++;
                    steadyMost = Math.max(steadyMost, stretch.ends);
                }
            }
            if (waiting > 0 && steady == STEADY) {
                return Math.min(most, STEADY_MARGIN * steadyMost) / STRETCH_MS;
            }
            return most / STRETCH_MS;
        }
    }
}

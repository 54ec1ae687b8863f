package slipfield.amqp.decide;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Who may try to log in, and when its answer goes out. Checking a secret costs CPU on purpose, so few are checked at once
 * and few wait; a wrong one is answered late, later with each further one of the same name, up to a bound. A right one is
 * answered at once, whoever else fails under that name: else anyone could lock a user out.
 */
public final class LoginThrottle {
    private static final double FIRST_DELAY_MS = 250;
    private static final double LONGEST_DELAY_MS = 8000;
    private static final double FORGOTTEN_MS = 60_000;
    private static final int MOST_NAMES = 1000;
    /**
     * Wrong ones whose answer is held back at one time. Guards against a crowd of them that would hold all connections: what
     * is beyond it is answered at once, and the checks, few at a time, still bound how many can be tried.
     */
    private static final int MOST_HELD_BACK = 32;

    private final int atOnce;
    private final int mostWaiting;
    private int checking;
    private final Map<String, Integer> waitingOf = new HashMap<>();
    private int waiting;
    private int heldBack;
    /** Wrong tries by name, those of long ago first. */
    private final Map<String, Wrong> wrong = new LinkedHashMap<>();

    private record Wrong(int many, double lastMs) {
    }

    /** What becomes of a try. */
    public enum Verdict {
        /** Its secret is checked now. */
        CHECK,
        /** It waits until another check has ended. */
        WAIT,
        /** Too many wait, all told or of this name: it is turned away unchecked. */
        REJECT
    }

    /**
     * @param atOnce secrets that are checked at one time
     * @param mostWaiting tries that wait for that; of one name a quarter of them at most
     */
    public LoginThrottle(int atOnce, int mostWaiting) {
        this.atOnce = atOnce;
        this.mostWaiting = mostWaiting;
    }

    /** Somebody wants to log in under this name. */
    public Verdict admit(String name) {
        if (checking < atOnce) {
            checking++;
            return Verdict.CHECK;
        }
        int ofName = waitingOf.getOrDefault(name, 0);
        if (waiting >= mostWaiting || ofName >= Math.max(1, mostWaiting / 4)) {
            return Verdict.REJECT;
        }
        waiting++;
        waitingOf.put(name, ofName + 1);
        return Verdict.WAIT;
    }

    /** One that waited goes on to its check. */
    public void startQueued(String name) {
        waiting--;
        waitingOf.merge(name, -1, (a, b) -> a + b == 0 ? null : a + b);
        checking++;
    }

    /** A check has ended; whether one that waits may go on. */
    public boolean checkFinished() {
        checking--;
        return checking < atOnce && waiting > 0;
    }

    /** The answer to a wrong secret is out. */
    public void failureAnswered() {
        heldBack--;
    }

    /** The secret was wrong: how long its answer is to be held back, in milliseconds, until {@link #failureAnswered}. */
    public double recordFailure(String name, double now) {
        Wrong before = wrong.remove(name);
        int many = before == null || now - before.lastMs > FORGOTTEN_MS ? 1 : before.many + 1;
        wrong.put(name, new Wrong(many, now));
        if (wrong.size() > MOST_NAMES) {
            wrong.remove(wrong.keySet().iterator().next());
        }
        if (heldBack++ >= MOST_HELD_BACK) {
            return 0;
        }
        return Math.min(LONGEST_DELAY_MS, FIRST_DELAY_MS * Math.pow(2, Math.min(many - 1, 16)));
    }
}

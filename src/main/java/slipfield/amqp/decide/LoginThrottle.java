package slipfield.amqp.decide;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits login attempts. Checking a secret is expensive on purpose, so only a few are checked at the same time and only a few
 * wait. The answer to a wrong secret is delayed, longer for each further failure of the same user name, up to a maximum. A
 * correct secret is answered at once, however often others failed under that name; otherwise anyone could lock a user out.
 */
public final class LoginThrottle {
    private static final double FIRST_DELAY_MS = 250;
    private static final double MAX_DELAY_MS = 8000;
    private static final double FAILURE_MEMORY_MS = 60_000;
    private static final int MAX_NAMES = 1000;
    /**
     * Answers that are delayed at the same time. Without this limit many failing logins could occupy all connections. Further
     * failures are answered at once; the limit on concurrent checks still bounds the rate of attempts.
     */
    private static final int MAX_DELAYED_ANSWERS = 32;

    private final int maxChecks;
    private final int maxWaiting;
    private int checking;
    private final Map<String, Integer> waitingByName = new HashMap<>();
    private int waiting;
    private int delayedAnswers;
    /** Failed attempts by user name, the least recent first. */
    private final Map<String, Failures> failures = new LinkedHashMap<>();

    private record Failures(int count, double lastMs) {
    }

    /** How a login attempt is handled. */
    public enum Verdict {
        /** Its secret is checked now. */
        CHECK,
        /** It waits until another check has finished. */
        WAIT,
        /** Too many attempts wait, in total or for this name: it is rejected without a check. */
        REJECT
    }

    /**
     * @param maxChecks secrets that are checked at the same time
     * @param maxWaiting attempts that may wait for a check; at most a quarter of them for one name
     */
    public LoginThrottle(int maxChecks, int maxWaiting) {
        this.maxChecks = maxChecks;
        this.maxWaiting = maxWaiting;
    }

    /** A client attempts to log in under this name. */
    public Verdict admit(String name) {
        if (checking < maxChecks) {
            checking++;
            return Verdict.CHECK;
        }
        int waitingForName = waitingByName.getOrDefault(name, 0);
        if (waiting >= maxWaiting || waitingForName >= Math.max(1, maxWaiting / 4)) {
            return Verdict.REJECT;
        }
        waiting++;
        waitingByName.put(name, waitingForName + 1);
        return Verdict.WAIT;
    }

    /** The check of a waiting attempt starts. */
    public void startQueued(String name) {
        waiting--;
        waitingByName.merge(name, -1, (a, b) -> a + b == 0 ? null : a + b);
        checking++;
    }

    /** A check has finished. Returns whether the check of a waiting attempt may start. */
    public boolean checkFinished() {
        checking--;
        return checking < maxChecks && waiting > 0;
    }

    /** The answer to a wrong secret was sent, after its delay. */
    public void failureAnswered() {
        delayedAnswers--;
    }

    /** Records a wrong secret. Returns the delay of its answer in milliseconds; {@link #failureAnswered} must follow. */
    public double recordFailure(String name, double now) {
        Failures before = failures.remove(name);
        int count = before == null || now - before.lastMs > FAILURE_MEMORY_MS ? 1 : before.count + 1;
        failures.put(name, new Failures(count, now));
        if (failures.size() > MAX_NAMES) {
            failures.remove(failures.keySet().iterator().next());
        }
        if (delayedAnswers++ >= MAX_DELAYED_ANSWERS) {
            return 0;
        }
        return Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * Math.pow(2, Math.min(count - 1, 16)));
    }
}

package slipfield.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Times are simulated milliseconds. */
class AdmissionControlTest {
    private static final long DEST = 7;
    private static final double LEFT = 12_000;

    private final AdmissionControl admission = new AdmissionControl(1000);

    private void hold(double now, int many) {
        for (int i = 0; i < many; i++) {
            admission.messageAdded(now, DEST);
        }
    }

    /** Delivers one each so many milliseconds, from {@code from} to {@code to}; as many come in. */
    private void deliver(double from, double to, double everyMs, boolean refilled) {
        for (double now = from; now < to; now += everyMs) {
            admission.messageEnded(now, DEST, true);
            if (refilled) {
                admission.messageAdded(now, DEST);
            }
        }
    }

    @Test
    void withoutEvidenceAClumpIsTakenOn() {
        hold(0, 300);
        assertTrue(admission.admit(10, DEST, LEFT, 300).accepted());
    }

    @Test
    void whatWaitsForLongerThanTheMessageHasIsRefusedWithTheTimeToComeBack() {
        hold(0, 30);
        deliver(0, 20_000, 500, true);
        AdmissionControl.Decision decision = admission.admit(20_000, DEST, 5000, 30);
        assertFalse(decision.accepted(), "two a second, 30 wait, 5 s left");
        assertTrue(decision.reason().contains("dest"), decision.reason());
        assertTrue(decision.retryAfterMs() >= 2000 && decision.retryAfterMs() <= 10_000, "wait " + decision.retryAfterMs());
        assertTrue(admission.admit(20_000, DEST, 30_000, 30).accepted(), "in 30 s it goes");
        assertTrue(admission.admit(20_000, DEST + 1, 5000, 30).accepted(), "another destination has its own");
    }

    /** Found by clients that heeded it: a sender that had just started told waits of 87 s, and stood idle. */
    @Test
    void theFirstDeliveriesOfALifeAreNoRate() {
        hold(0, 30);
        admission.messageEnded(100, DEST, true);
        assertTrue(admission.admit(110, DEST, LEFT, 29).accepted());
        deliver(110, 1900, 50, true);
        assertTrue(admission.admit(1900, DEST, 1000, 29).accepted());
    }

    @Test
    void anOutageIsNotSlowness() {
        hold(0, 200);
        deliver(0, 10_000, 20, true);
        // Silent for 8 s: what it took before says what it will take when it is back.
        assertTrue(admission.admit(18_000, DEST, LEFT, 200).accepted());
        hold(18_000, 500);
        assertFalse(admission.admit(18_000, DEST, LEFT, 700).accepted(), "700 don't go in 12 s at 50 a second");
    }

    @Test
    void deliveriesThatGetFasterAfterAnOutageAreNotHeldAgainstIt() {
        hold(0, 100);
        deliver(0, 10_000, 20, true);
        deliver(20_000, 22_500, 500, true);
        assertTrue(admission.admit(22_500, DEST, LEFT, 100).accepted());
    }

    @Test
    void fewWaitingAreNeverRefused() {
        hold(0, AdmissionControl.FEW - 1);
        deliver(0, 20_000, 2500, true);
        assertTrue(admission.admit(20_000, DEST, 1000, 15).accepted());
    }

    @Test
    void aFullSenderSaysWhenThereIsRoom() {
        hold(0, 1000);
        deliver(0, 10_000, 10, true);
        AdmissionControl.Decision decision = admission.admit(10_000, DEST, LEFT, 1000);
        assertFalse(decision.accepted());
        assertTrue(decision.retryAfterMs() > 0 && decision.retryAfterMs() < 2000, "wait " + decision.retryAfterMs());
    }

    @Test
    void aLateLoopRefusesUntilItHasCaughtUp() {
        admission.recordLateness(1000, 20);
        assertTrue(admission.admit(1001, DEST, LEFT, 0).accepted());
        admission.recordLateness(2000, AdmissionControl.LATE_MS + 100);
        AdmissionControl.Decision decision = admission.admit(2001, DEST, LEFT, 0);
        assertFalse(decision.accepted());
        assertTrue(decision.reason().contains("behind"), decision.reason());
        assertTrue(decision.retryAfterMs() >= AdmissionControl.LATE_MS);
        assertTrue(admission.admit(2001 + AdmissionControl.LATE_MEMORY_MS, DEST, LEFT, 0).accepted());
        admission.recordLateness(3000, 800);
        admission.recordLateness(3010, 0);
        admission.recordLateness(3020, 0);
        assertTrue(admission.admit(3021, DEST, LEFT, 0).accepted(), "two in time halve what was late");
    }
}

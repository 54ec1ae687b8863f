package slipfield.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Times are simulated milliseconds. */
class AdmissionTest {
    private static final long DEST = 7;
    private static final double LEFT = 12_000;

    private final Admission admission = new Admission(1000);

    private void hold(double now, int many) {
        for (int i = 0; i < many; i++) {
            admission.held(now, DEST);
        }
    }

    /** Delivers one each so many milliseconds, from {@code from} to {@code to}; as many come in. */
    private void deliver(double from, double to, double everyMs, boolean refilled) {
        for (double now = from; now < to; now += everyMs) {
            admission.ended(now, DEST, true);
            if (refilled) {
                admission.held(now, DEST);
            }
        }
    }

    @Test
    void withoutEvidenceAClumpIsTakenOn() {
        hold(0, 300);
        assertTrue(admission.admit(10, DEST, LEFT, 300).taken());
    }

    @Test
    void whatWaitsForLongerThanTheMessageHasIsRefusedWithTheTimeToComeBack() {
        hold(0, 30);
        deliver(0, 20_000, 500, true);
        Admission.Verdict verdict = admission.admit(20_000, DEST, 5000, 30);
        assertFalse(verdict.taken(), "two a second, 30 wait, 5 s left");
        assertTrue(verdict.reason().contains("dest"), verdict.reason());
        assertTrue(verdict.waitMs() >= 2000 && verdict.waitMs() <= 10_000, "wait " + verdict.waitMs());
        assertTrue(admission.admit(20_000, DEST, 30_000, 30).taken(), "in 30 s it goes");
        assertTrue(admission.admit(20_000, DEST + 1, 5000, 30).taken(), "another destination has its own");
    }

    /** Found by clients that heeded it: a sender that had just started told waits of 87 s, and stood idle. */
    @Test
    void theFirstDeliveriesOfALifeAreNoRate() {
        hold(0, 30);
        admission.ended(100, DEST, true);
        assertTrue(admission.admit(110, DEST, LEFT, 29).taken());
        deliver(110, 1900, 50, true);
        assertTrue(admission.admit(1900, DEST, 1000, 29).taken());
    }

    @Test
    void anOutageIsNotSlowness() {
        hold(0, 200);
        deliver(0, 10_000, 20, true);
        // Silent for 8 s: what it took before says what it will take when it is back.
        assertTrue(admission.admit(18_000, DEST, LEFT, 200).taken());
        hold(18_000, 500);
        assertFalse(admission.admit(18_000, DEST, LEFT, 700).taken(), "700 don't go in 12 s at 50 a second");
    }

    @Test
    void deliveriesThatGetFasterAfterAnOutageAreNotHeldAgainstIt() {
        hold(0, 100);
        deliver(0, 10_000, 20, true);
        deliver(20_000, 22_500, 500, true);
        assertTrue(admission.admit(22_500, DEST, LEFT, 100).taken());
    }

    @Test
    void fewWaitingAreNeverRefused() {
        hold(0, Admission.FEW - 1);
        deliver(0, 20_000, 2500, true);
        assertTrue(admission.admit(20_000, DEST, 1000, 15).taken());
    }

    @Test
    void aFullSenderSaysWhenThereIsRoom() {
        hold(0, 1000);
        deliver(0, 10_000, 10, true);
        Admission.Verdict verdict = admission.admit(10_000, DEST, LEFT, 1000);
        assertFalse(verdict.taken());
        assertTrue(verdict.waitMs() > 0 && verdict.waitMs() < 2000, "wait " + verdict.waitMs());
    }

    @Test
    void aLateLoopRefusesUntilItHasCaughtUp() {
        admission.late(1000, 20);
        assertTrue(admission.admit(1001, DEST, LEFT, 0).taken());
        admission.late(2000, Admission.LATE_MS + 100);
        Admission.Verdict verdict = admission.admit(2001, DEST, LEFT, 0);
        assertFalse(verdict.taken());
        assertTrue(verdict.reason().contains("behind"), verdict.reason());
        assertTrue(verdict.waitMs() >= Admission.LATE_MS);
        assertTrue(admission.admit(2001 + Admission.LATE_MEMORY_MS, DEST, LEFT, 0).taken());
        admission.late(3000, 800);
        admission.late(3010, 0);
        admission.late(3020, 0);
        assertTrue(admission.admit(3021, DEST, LEFT, 0).taken(), "two in time halve what was late");
    }
}

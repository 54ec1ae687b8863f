package slipfield.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Times are simulated milliseconds. */
class AdmissionControlTest {
    private static final long DEST = 7;
    private static final double LEFT = 12_000;

    private final AdmissionControl admission = new AdmissionControl(1000);

    private void add(double now, int messages) {
        for (int i = 0; i < messages; i++) {
            admission.messageAdded(now, DEST);
        }
    }

    /** Delivers one message every {@code everyMs}; {@code refilled}: each is replaced by a new one. */
    private void deliver(double from, double to, double everyMs, boolean refilled) {
        for (double now = from; now < to; now += everyMs) {
            admission.messageEnded(now, DEST, true);
            if (refilled) {
                admission.messageAdded(now, DEST);
            }
        }
    }

    @Test
    void aBurstIsAcceptedWhileNoRateIsKnown() {
        add(0, 300);
        assertTrue(admission.admit(10, DEST, LEFT, 300).accepted());
    }

    @Test
    void aMessageWithLessTimeThanTheQueueTakesIsRefusedWithARetryTime() {
        add(0, 30);
        deliver(0, 20_000, 500, true);
        AdmissionControl.Decision decision = admission.admit(20_000, DEST, 5000, 30);
        assertFalse(decision.accepted(), "two deliveries a second, 30 waiting, 5 s left");
        assertTrue(decision.reason().contains("dest"), decision.reason());
        assertTrue(decision.retryAfterMs() >= 2000 && decision.retryAfterMs() <= 10_000, "wait " + decision.retryAfterMs());
        assertTrue(admission.admit(20_000, DEST, 30_000, 30).accepted(), "30 s are enough");
        assertTrue(admission.admit(20_000, DEST + 1, 5000, 30).accepted(), "another destination is not affected");
    }

    /**
     * Guards against a rate taken from the first deliveries after a start: the sender then requested waits of 87 s, and clients
     * that obeyed them left it idle.
     */
    @Test
    void theFirstDeliveriesAfterAStartGiveNoRate() {
        add(0, 30);
        admission.messageEnded(100, DEST, true);
        assertTrue(admission.admit(110, DEST, LEFT, 29).accepted());
        deliver(110, 1900, 50, true);
        assertTrue(admission.admit(1900, DEST, 1000, 29).accepted());
    }

    @Test
    void anOutageDoesNotLowerTheRate() {
        add(0, 200);
        deliver(0, 10_000, 20, true);
        // No delivery for 8 s: the rate before that is the rate expected after the outage.
        assertTrue(admission.admit(18_000, DEST, LEFT, 200).accepted());
        add(18_000, 500);
        assertFalse(admission.admit(18_000, DEST, LEFT, 700).accepted(), "700 take more than 12 s at 50 a second");
    }

    @Test
    void slowDeliveriesRightAfterAnOutageDoNotLowerTheRate() {
        add(0, 100);
        deliver(0, 10_000, 20, true);
        deliver(20_000, 22_500, 500, true);
        assertTrue(admission.admit(22_500, DEST, LEFT, 100).accepted());
    }

    @Test
    void aDestinationWithFewWaitingMessagesIsNeverRefused() {
        add(0, AdmissionControl.MIN_WAITING - 1);
        deliver(0, 20_000, 2500, true);
        assertTrue(admission.admit(20_000, DEST, 1000, 15).accepted());
    }

    @Test
    void aFullSenderReportsWhenItWillHaveRoom() {
        add(0, 1000);
        deliver(0, 10_000, 10, true);
        AdmissionControl.Decision decision = admission.admit(10_000, DEST, LEFT, 1000);
        assertFalse(decision.accepted());
        assertTrue(decision.retryAfterMs() > 0 && decision.retryAfterMs() < 2000, "wait " + decision.retryAfterMs());
    }

    @Test
    void aLateEventLoopRefusesUntilItHasCaughtUp() {
        admission.recordLateness(1000, 20);
        assertTrue(admission.admit(1001, DEST, LEFT, 0).accepted());
        admission.recordLateness(2000, AdmissionControl.OVERLOAD_LATENESS_MS + 100);
        AdmissionControl.Decision decision = admission.admit(2001, DEST, LEFT, 0);
        assertFalse(decision.accepted());
        assertTrue(decision.reason().contains("behind"), decision.reason());
        assertTrue(decision.retryAfterMs() >= AdmissionControl.OVERLOAD_LATENESS_MS);
        assertTrue(admission.admit(2001 + AdmissionControl.LATENESS_VALID_MS, DEST, LEFT, 0).accepted());
        admission.recordLateness(3000, 800);
        admission.recordLateness(3010, 0);
        admission.recordLateness(3020, 0);
        assertTrue(admission.admit(3021, DEST, LEFT, 0).accepted(), "each task in time halves the recorded lateness");
    }
}

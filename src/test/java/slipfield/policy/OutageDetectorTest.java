package slipfield.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When one sender assumes that a destination is in an outage. */
class OutageDetectorTest {
    private final OutageDetector detector = new OutageDetector();

    @Test
    void afterAFailedCallOneCallGoesAtATime() {
        assertTrue(detector.allows());
        assertFalse(detector.failed(100, 50));
        assertTrue(detector.allows());
        detector.probeSent();
        assertFalse(detector.allows(), "one probe is out");
        detector.probeEnded();
        assertTrue(detector.allows());
        assertTrue(detector.failed(200, 150), "the second failure confirms the outage");
        assertFalse(detector.failed(300, 250), "confirmed only once");
        assertEquals(new DeliveryPolicy.UndeliveredCalls(3, 0, 100), detector.undeliveredCalls());
        detector.delivered();
        assertFalse(detector.suspects());
    }

    @Test
    void callsThatOverlapCountOnce() {
        assertFalse(detector.failed(100, 50));
        assertFalse(detector.failed(110, 60));
        assertTrue(detector.failed(200, 101));
    }

    @Test
    void refusalsCountLessAndLeastIfTheLimitIsUsedUp() {
        for (int i = 1; i <= 4; i++) {
            assertFalse(detector.refused(i * 100, i * 100, 0.1), i + " refusals");
        }
        assertTrue(detector.refused(500, 500, 0.1));
        detector.delivered();
        assertFalse(detector.refused(1000, 1000, -1));
        assertTrue(detector.allows(), "single refusals may come from a limit");
        assertFalse(detector.refused(1100, 1100, -1));
        assertTrue(detector.refused(1200, 1200, 0.9));
    }

    @Test
    void aRefusalInTheNextPeriodOfALimitConfirmsTheOutage() {
        assertFalse(detector.refused(1000, 990, 0.9));
        assertTrue(detector.refused(2000, 1990, 0.9));
    }

    @Test
    void aFailureBeforeTheRestartIsSuspectedButNotConfirmed() {
        detector.suspect(0);
        assertTrue(detector.suspects());
        assertTrue(detector.failed(100, 50));
    }
}

package slipfield.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What one sender takes for an outage of a destination. */
class OutageDetectorTest {
    private final OutageDetector detector = new OutageDetector();

    @Test
    void aFailedCallLetsOneCallGoAtATime() {
        assertTrue(detector.allows());
        assertFalse(detector.failed(100, 50));
        assertTrue(detector.allows());
        detector.probeSent();
        assertFalse(detector.allows(), "one is out");
        detector.probeEnded();
        assertTrue(detector.allows());
        assertTrue(detector.failed(200, 150), "the second makes it sure");
        assertFalse(detector.failed(300, 250), "once");
        assertEquals(new DeliveryPolicy.UndeliveredCalls(3, 0, 100), detector.undeliveredCalls());
        detector.delivered();
        assertFalse(detector.suspects());
    }

    @Test
    void callsThatWereOutTogetherCountOnce() {
        assertFalse(detector.failed(100, 50));
        assertFalse(detector.failed(110, 60));
        assertTrue(detector.failed(200, 101));
    }

    @Test
    void refusalsWeighLessAndLeastWithTheirLimitUsedUp() {
        for (int i = 1; i <= 4; i++) {
            assertFalse(detector.refused(i * 100, i * 100, 0.1), i + " refusals");
        }
        assertTrue(detector.refused(500, 500, 0.1));
        detector.delivered();
        assertFalse(detector.refused(1000, 1000, -1));
        assertTrue(detector.allows(), "a limit has single refusals");
        assertFalse(detector.refused(1100, 1100, -1));
        assertTrue(detector.refused(1200, 1200, 0.9));
    }

    @Test
    void aRefusalInTheNextSpanOfALimitMakesItSure() {
        assertFalse(detector.refused(1000, 990, 0.9));
        assertTrue(detector.refused(2000, 1990, 0.9));
    }

    @Test
    void whatAnEarlierLifeTriedInVainIsSuspiciousAndNotSure() {
        detector.suspect(0);
        assertTrue(detector.suspects());
        assertTrue(detector.failed(100, 50));
    }
}

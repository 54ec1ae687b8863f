package slipfield.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What all senders of a fleet send together to a destination in trials and in a ramp. */
class SlowStartTest {
    private static final DeliveryPolicy.ColdStart COLD = new DeliveryPolicy.ColdStart(0.2, 12_000, 2, 1500);

    /** The fleet's rate is within the budget however many share it, but for one trial in 750 ms. */
    @ParameterizedTest
    @CsvSource({"1, 0.06", "48, 0.006", "100, 0.06", "800, 0.02", "800, 0.2"})
    void allSendersTogetherStayWithinTheBudget(int senders, double capacity) {
        SlowStart slowStart = new SlowStart(COLD, senders);
        double usual = capacity / senders;
        assertTrue(senders * slowStart.probeRate(usual, 1) <= Math.max(2 * 0.2 * capacity, 1 / 750.0) + 1e-12);
        for (double at = 0; at < 12_000; at += 500) {
            double budget = 2 * capacity * (0.2 + 0.8 * at / 12_000);
            assertTrue(senders * slowStart.slowStartRate(at, usual, 1) <= budget, "at " + at);
        }
    }

    /** A thin sender's next call was due by the rate of the moment: long after the ramp. */
    @ParameterizedTest
    @CsvSource({"0.0001, 0", "0.001, 3000", "0.05, 11000"})
    void theNextCallOfARampFallsDueByItsRisingRate(double usual, double at) {
        SlowStart slowStart = new SlowStart(COLD, 48);
        double interval = slowStart.slowStartIntervalMs(at, usual, 1);
        double calls = 0;
        for (double ms = 0; ms < interval; ms++) {
            // Beyond the ramp its slope goes on: the caller ends it there.
            double rate = slowStart.slowStartRate(0, usual, 1) * (1 + 4 * (at + ms) / 12_000);
            calls += rate * Math.min(1, interval - ms);
        }
        assertEquals(1, calls, 0.05);
    }
}

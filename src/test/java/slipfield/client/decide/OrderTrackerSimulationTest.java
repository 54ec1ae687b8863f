package slipfield.client.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Simulates failing senders with 10,000 seeds: no submission may break the rules of its class, its window, a requested delay
 * or its deadline, and every order gets exactly one correct final answer.
 */
class OrderTrackerSimulationTest {
    private static final int SEEDS = 10_000;

    @Test
    void noSeedViolatesARule() {
        int sends = 0;
        int resends = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            SenderSimulation simulation = new SenderSimulation(seed, SenderSimulation.Defect.NOTHING, seed % 2 == 0);
            assertEquals(List.of(), simulation.run(), "seed " + seed);
            sends += simulation.sends;
            resends += simulation.resends;
        }
        assertTrue(sends > SEEDS && resends > SEEDS / 10, sends + " submissions, " + resends + " of them repeated");
    }

    /** Checks the checker: each defect that is built in on purpose must be found within 300 seeds. */
    @ParameterizedTest
    @EnumSource(value = SenderSimulation.Defect.class, names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
    void aTrackerWithADefectIsDetected(SenderSimulation.Defect defect) {
        boolean found = false;
        for (long seed = 0; seed < 300 && !found; seed++) {
            found = !new SenderSimulation(seed, defect, seed % 2 == 0).run().isEmpty();
        }
        assertTrue(found, defect + " was not detected");
        assertFalse(defect == SenderSimulation.Defect.NOTHING);
    }
}

package slipfield.client.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** 10,000 seeds of failing senders: no hand-in outside class, window, wait or time, and one true end each. */
class OrderTrackerSimulationTest {
    private static final int SEEDS = 10_000;

    @Test
    void noSeedBreaksARule() {
        int sends = 0;
        int resends = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            SenderSimulation world = new SenderSimulation(seed, SenderSimulation.Defect.NOTHING, seed % 2 == 0);
            assertEquals(List.of(), world.play(), "seed " + seed);
            sends += world.sends;
            resends += world.resends;
        }
        assertTrue(sends > SEEDS && resends > SEEDS / 10, sends + " hand-ins, " + resends + " again");
    }

    /** A checker that finds nothing in these finds nothing at all. */
    @ParameterizedTest
    @EnumSource(value = SenderSimulation.Defect.class, names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
    void aClientThatIsBrokenOnPurposeIsFound(SenderSimulation.Defect broken) {
        boolean found = false;
        for (long seed = 0; seed < 300 && !found; seed++) {
            found = !new SenderSimulation(seed, broken, seed % 2 == 0).play().isEmpty();
        }
        assertTrue(found, broken + " was not found");
        assertFalse(broken == SenderSimulation.Defect.NOTHING);
    }
}

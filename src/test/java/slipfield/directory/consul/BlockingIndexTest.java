package slipfield.directory.consul;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import slipfield.directory.consul.BlockingIndex.Verdict;

/** Evaluation of the index and staleness headers of Consul's answers. */
class BlockingIndexTest {
    private final BlockingIndex index = new BlockingIndex(2000, 2);

    private Verdict answered(String consulIndex) {
        return index.answered(consulIndex, "true", "0");
    }

    @Test
    void anUnchangedIndexMeansNothingHasChanged() {
        assertEquals(Verdict.TAKE, answered("7"));
        assertEquals(7, index.index());
        assertEquals(Verdict.SAME, answered("7"));
        assertEquals(Verdict.TAKE, answered("8"));
    }

    @Test
    void aDecreasedIndexIsAcceptedAfterASecondAnswer() {
        answered("100");
        assertEquals(Verdict.RESET, answered("3"));
        assertEquals(0, index.index());
        assertEquals(Verdict.TAKE, answered("3"));
        assertEquals(3, index.index());
        assertEquals(Verdict.SAME, answered("3"));
    }

    @Test
    void aDecreasedIndexOfALaggingAgentIsDiscarded() {
        answered("100");
        assertEquals(Verdict.RESET, answered("90"));
        assertEquals(Verdict.TAKE, answered("101"));
        assertEquals(101, index.index());
    }

    @Test
    void aDecreasedIndexIsAcceptedAfterTheConfiguredConfirmations() {
        BlockingIndex three = new BlockingIndex(2000, 3);
        three.answered("100", "true", "0");
        assertEquals(Verdict.RESET, three.answered("3", "true", "0"));
        assertEquals(Verdict.RESET, three.answered("3", "true", "0"));
        assertEquals(Verdict.TAKE, three.answered("3", "true", "0"));
        assertEquals(Verdict.SAME, three.answered("3", "true", "0"));
    }

    @Test
    void anAbsentOrNonPositiveIndexDoesNotBlock() {
        for (String none : new String[] {null, "0", "-4", "x", ""}) {
            answered("5");
            assertEquals(Verdict.TAKE, answered(none));
            assertEquals(0, index.index(), none);
        }
    }

    @Test
    void anAnswerWithoutLeaderOrWithOldContactIsStale() {
        assertEquals(Verdict.STALE, index.answered("7", "false", "0"));
        assertEquals(Verdict.STALE, index.answered("7", "true", "2001"));
        assertEquals(0, index.index());
        assertEquals(Verdict.TAKE, index.answered("7", "true", "2000"));
        assertEquals(Verdict.SAME, index.answered("7", null, null));
    }

    @Test
    void aProbeOnlyReportsWhetherToFetchTheList() {
        answered("7");
        assertEquals(Verdict.SAME, index.probed("7", "true", "0"));
        assertEquals(Verdict.TAKE, index.probed("8", "true", "0"));
        assertEquals(Verdict.TAKE, index.probed("3", "true", "0"));
        assertEquals(Verdict.TAKE, index.probed(null, "true", "0"));
        assertEquals(Verdict.STALE, index.probed("8", "false", "0"));
        assertEquals(7, index.index());
    }

    @Test
    void afterAResetTheWholeListIsAccepted() {
        answered("7");
        index.reset();
        assertEquals(0, index.index());
        assertEquals(Verdict.TAKE, answered("7"));
    }

    @Test
    void randomIndexesNeverBlockBelowOneNorResetTwiceInARow() {
        for (int seed = 0; seed < 2000; seed++) {
            Random random = new Random(seed);
            BlockingIndex any = new BlockingIndex(2000, 2);
            Verdict last = Verdict.TAKE;
            for (int i = 0; i < 50; i++) {
                Verdict verdict = any.answered(Integer.toString(random.nextInt(20) - 3), "true", "0");
                assertTrue(any.index() >= 0);
                assertTrue(verdict != Verdict.RESET || last != Verdict.RESET, "seed " + seed);
                last = verdict;
                if (random.nextInt(5) == 0) {
                    any.reset();
                }
            }
        }
    }
}

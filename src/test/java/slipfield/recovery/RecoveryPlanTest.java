package slipfield.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RecoveryPlanTest {
    @Test
    void whatWasNeverTriedHasItsReserveToBeTriedIn() {
        assertEquals(5000, RecoveryPlan.remainingMs(5000, 700, true));
        assertEquals(700, RecoveryPlan.remainingMs(300, 700, true), "it never has less than one that is further over");
        assertEquals(700, RecoveryPlan.remainingMs(0, 700, true));
        assertEquals(100, RecoveryPlan.remainingMs(-600, 700, true));
        assertEquals(-100, RecoveryPlan.remainingMs(-800, 700, true), "its client's time is over");
        assertEquals(-600, RecoveryPlan.remainingMs(-600, 700, false));
        assertEquals(300, RecoveryPlan.remainingMs(300, 700, false));
    }

    private static RecoveryPlan.Item item(long number, long remainingMs) {
        return new RecoveryPlan.Item(number, remainingMs, false, false);
    }

    private static List<RecoveryPlan.Batch> slices(List<RecoveryPlan.Item> items) {
        RecoveryPlan plan = new RecoveryPlan(items);
        List<RecoveryPlan.Batch> all = new ArrayList<>();
        while (plan.remainingBatches() > 0) {
            all.add(plan.next());
        }
        return all;
    }

    @Test
    void endsGoFirstThenWhatIsDueSoonThenTheRestAsTaken() {
        List<RecoveryPlan.Batch> slices = slices(List.of(item(1, 20_000), item(2, 900), item(3, -5), item(4, 10_000),
                item(5, 100), new RecoveryPlan.Item(6, 5000, true, false), item(7, 0)));
        assertEquals(List.of(new RecoveryPlan.Batch(RecoveryPlan.Action.REPORT, List.of(6L)),
                new RecoveryPlan.Batch(RecoveryPlan.Action.EXPIRE, List.of(3L, 7L)),
                new RecoveryPlan.Batch(RecoveryPlan.Action.RESUME, List.of(5L, 2L, 1L, 4L))), slices);
    }

    @Test
    void aClassInOrderStaysAsTakenButForWhatIsOverdue() {
        List<RecoveryPlan.Batch> slices = slices(List.of(new RecoveryPlan.Item(1, 9000, false, true),
                new RecoveryPlan.Item(2, 100, false, true), new RecoveryPlan.Item(3, -1, false, true)));
        assertEquals(List.of(3L), slices.get(0).numbers());
        assertEquals(List.of(1L, 2L), slices.get(1).numbers());
    }

    @Test
    void twoThousandOverdueOfFiveThousandAreEndedInEightTurns() {
        List<RecoveryPlan.Item> items = new ArrayList<>();
        for (int i = 0; i < 5000; i++) {
            items.add(item(i, i % 5 < 2 ? -1 - i : 60_000));
        }
        RecoveryPlan plan = new RecoveryPlan(items);
        int ends = 0;
        while (plan.hasAnswersLeft()) {
            assertEquals(RecoveryPlan.Action.EXPIRE, plan.next().action());
            ends++;
        }
        assertEquals(8, ends);
        assertEquals((3000 + RecoveryPlan.RESUME_BATCH_SIZE - 1) / RecoveryPlan.RESUME_BATCH_SIZE, plan.remainingBatches());
    }

    @Test
    void nothingHeldIsNothingToDo() {
        RecoveryPlan plan = new RecoveryPlan(List.of());
        assertFalse(plan.hasAnswersLeft());
        assertEquals(0, plan.remainingBatches());
    }

    @Test
    void whateverIsHeldEachIsTakenUpOnceInBoundedSlicesAndNoEndAfterASend() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            List<RecoveryPlan.Item> items = new ArrayList<>();
            for (int i = random.nextInt(2000); i > 0; i--) {
                items.add(new RecoveryPlan.Item(i, random.nextInt(30_000) - 10_000, random.nextInt(4) == 0,
                        random.nextInt(3) == 0));
            }
            Set<Long> seen = new HashSet<>();
            RecoveryPlan.Action last = RecoveryPlan.Action.REPORT;
            for (RecoveryPlan.Batch slice : slices(items)) {
                assertTrue(slice.action().compareTo(last) >= 0, "seed " + seed);
                last = slice.action();
                assertTrue(slice.numbers().size() <= (last == RecoveryPlan.Action.RESUME ? RecoveryPlan.RESUME_BATCH_SIZE : RecoveryPlan.ANSWER_BATCH_SIZE));
                for (long number : slice.numbers()) {
                    assertTrue(seen.add(number), "seed " + seed + ": taken up twice");
                }
            }
            assertEquals(items.size(), seen.size(), "seed " + seed);
        }
    }
}

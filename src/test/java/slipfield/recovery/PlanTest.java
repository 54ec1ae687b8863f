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

class PlanTest {
    @Test
    void whatWasNeverTriedHasItsReserveToBeTriedIn() {
        assertEquals(5000, Plan.leftMs(5000, 700, true));
        assertEquals(700, Plan.leftMs(300, 700, true), "it never has less than one that is further over");
        assertEquals(700, Plan.leftMs(0, 700, true));
        assertEquals(100, Plan.leftMs(-600, 700, true));
        assertEquals(-100, Plan.leftMs(-800, 700, true), "its client's time is over");
        assertEquals(-600, Plan.leftMs(-600, 700, false));
        assertEquals(300, Plan.leftMs(300, 700, false));
    }

    private static Plan.Item item(long number, long leftMs) {
        return new Plan.Item(number, leftMs, false, false);
    }

    private static List<Plan.Slice> slices(List<Plan.Item> items) {
        Plan plan = new Plan(items);
        List<Plan.Slice> all = new ArrayList<>();
        while (plan.left() > 0) {
            all.add(plan.next());
        }
        return all;
    }

    @Test
    void endsGoFirstThenWhatIsDueSoonThenTheRestAsTaken() {
        List<Plan.Slice> slices = slices(List.of(item(1, 20_000), item(2, 900), item(3, -5), item(4, 10_000),
                item(5, 100), new Plan.Item(6, 5000, true, false), item(7, 0)));
        assertEquals(List.of(new Plan.Slice(Plan.Step.TELL, List.of(6L)),
                new Plan.Slice(Plan.Step.END, List.of(3L, 7L)),
                new Plan.Slice(Plan.Step.RESUME, List.of(5L, 2L, 1L, 4L))), slices);
    }

    @Test
    void aClassInOrderStaysAsTakenButForWhatIsOverdue() {
        List<Plan.Slice> slices = slices(List.of(new Plan.Item(1, 9000, false, true),
                new Plan.Item(2, 100, false, true), new Plan.Item(3, -1, false, true)));
        assertEquals(List.of(3L), slices.get(0).numbers());
        assertEquals(List.of(1L, 2L), slices.get(1).numbers());
    }

    @Test
    void twoThousandOverdueOfFiveThousandAreEndedInEightTurns() {
        List<Plan.Item> items = new ArrayList<>();
        for (int i = 0; i < 5000; i++) {
            items.add(item(i, i % 5 < 2 ? -1 - i : 60_000));
        }
        Plan plan = new Plan(items);
        int ends = 0;
        while (plan.endsLeft()) {
            assertEquals(Plan.Step.END, plan.next().step());
            ends++;
        }
        assertEquals(8, ends);
        assertEquals((3000 + Plan.SLICE - 1) / Plan.SLICE, plan.left());
    }

    @Test
    void nothingHeldIsNothingToDo() {
        Plan plan = new Plan(List.of());
        assertFalse(plan.endsLeft());
        assertEquals(0, plan.left());
    }

    @Test
    void whateverIsHeldEachIsTakenUpOnceInBoundedSlicesAndNoEndAfterASend() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            List<Plan.Item> items = new ArrayList<>();
            for (int i = random.nextInt(2000); i > 0; i--) {
                items.add(new Plan.Item(i, random.nextInt(30_000) - 10_000, random.nextInt(4) == 0,
                        random.nextInt(3) == 0));
            }
            Set<Long> seen = new HashSet<>();
            Plan.Step last = Plan.Step.TELL;
            for (Plan.Slice slice : slices(items)) {
                assertTrue(slice.step().compareTo(last) >= 0, "seed " + seed);
                last = slice.step();
                assertTrue(slice.numbers().size() <= (last == Plan.Step.RESUME ? Plan.SLICE : Plan.ENDS));
                for (long number : slice.numbers()) {
                    assertTrue(seen.add(number), "seed " + seed + ": taken up twice");
                }
            }
            assertEquals(items.size(), seen.size(), "seed " + seed);
        }
    }
}

package slipfield.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class MemoryBudgetTest {
    private final MemoryBudget budget = new MemoryBudget(100_000);
    private final List<String> reclaimed = new ArrayList<>();

    private MemoryBudget.Account account(String name) {
        return budget.open(name, () -> reclaimed.add(name));
    }

    private void enforce() {
        while (budget.reclaimLargest().isPresent()) {
            // Each is recorded.
        }
    }

    @Test
    void nothingIsReclaimedWithinTheLimit() {
        account("a").set(50_000, 50_000);
        enforce();
        assertEquals(List.of(), reclaimed);
    }

    @Test
    void theLargestRequestsAreReclaimedFirstAndOfEqualOnesTheOldest() {
        MemoryBudget.Account first = account("first");
        account("second").set(0, 40_000);
        first.set(0, 41_000);
        account("small").set(0, 4_000);
        account("third").set(0, 40_000);
        enforce();
        assertEquals(List.of("second"), reclaimed);
        assertEquals(85_000, budget.usedBytes());
    }

    /** Guards against a budget of which each kind of memory has its own share, all of which together fill the heap. */
    @Test
    void whatCannotBeReclaimedLeavesLessForRequests() {
        account("connections").set(90_000, 0);
        account("large").set(0, 8_000);
        account("small").set(0, 4_000);
        enforce();
        assertEquals(List.of("large"), reclaimed);
        assertEquals(Map.of("connections", 90_000L, "large", 0L, "small", 4_000L), budget.usage());
    }

    @Test
    void requestsThatWouldGiveBackLittleAreLeftAlone() {
        account("connections").set(100_000, 0);
        account("usual").set(0, MemoryBudget.MIN_RECLAIM_BYTES - 1);
        enforce();
        assertEquals(List.of(), reclaimed);
    }

    @Test
    void aClosedAccountHoldsNothing() {
        MemoryBudget.Account closed = account("closed");
        closed.set(10, 20);
        closed.close();
        closed.set(10, 20);
        assertEquals(0, budget.usedBytes());
        assertEquals(Map.of(), budget.usage());
    }
}

package slipfield.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import slipfield.log.Log;

/** Enforces a {@link MemoryBudget}, and logs who holds how much. Used on the event loop only. */
public final class MemoryGuard {
    /** Below this share of the limit, as a divisor, what is held is not reported. */
    private static final int REPORT_FROM = 4;
    private static final int KB = 1024;

    private final MemoryBudget budget;

    /** Enforces this budget. */
    public MemoryGuard(MemoryBudget budget) {
        this.budget = budget;
    }

    /** A guard of this process's heap. */
    public static MemoryGuard ofHeap() {
        return new MemoryGuard(MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory()));
    }

    /** The budget that is enforced. */
    public MemoryBudget budget() {
        return budget;
    }

    /** Reclaims memory until the budget is kept, or until nobody could give back enough to matter. */
    public void enforce() {
        if (budget.usedBytes() <= budget.limitBytes()) {
            return;
        }
        Optional<MemoryBudget.Reclaimed> reclaimed = budget.reclaimLargest();
        while (reclaimed.isPresent()) {
            Log.warn("memory.reclaimed", "kind", reclaimed.get().kind(), "kb", reclaimed.get().bytes() / KB, "held_kb",
                    budget.usedBytes() / KB, "limit_kb", budget.limitBytes() / KB);
            reclaimed = budget.reclaimLargest();
        }
        if (budget.usedBytes() > budget.limitBytes()) {
            Log.warn("memory.exceeded", usage());
        }
    }

    /** Logs who holds how much if it is a substantial part of the budget. */
    public void report() {
        if (budget.usedBytes() > budget.limitBytes() / REPORT_FROM) {
            Log.info("memory.held", usage());
        }
    }

    private Object[] usage() {
        List<Object> fields = new ArrayList<>(List.of("held_kb", budget.usedBytes() / KB, "limit_kb", budget.limitBytes() / KB));
        for (Map.Entry<String, Long> kind : budget.usage().entrySet()) {
            fields.add(kind.getKey() + "_kb");
            fields.add(kind.getValue() / KB);
        }
        return fields.toArray();
    }
}

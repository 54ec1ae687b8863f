package slipfield.memory;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Limits the heap that peers make the sender hold, over all their connections and protocols together. Each connection has an
 * account of what its objects take, not of the octets that were received: a header field of four octets takes some two hundred.
 * Beyond the limit the largest accounts are reclaimed first, so that peers with small requests keep theirs. Used on the event
 * loop only.
 */
public final class MemoryBudget {
    /** Accounts that could give back less than this, in bytes, are left alone: it would help little and cost a request each. */
    static final long MIN_RECLAIM_BYTES = 1024;
    /** The share of the heap, as a divisor: live objects must fit into the old generation, beside the sender's own state. */
    private static final int HEAP_PER_BUDGET = 3;

    private final long limitBytes;
    private final Set<Account> accounts = new LinkedHashSet<>();
    private long usedBytes;

    /** Gives back what a peer's unfinished request holds, by refusing it or closing its connection. */
    public interface Holder {
        /** Called when the budget is exceeded. Afterwards nothing of the account's reclaimable memory may be referenced. */
        void reclaim();
    }

    /** What one peer makes the sender hold. */
    public final class Account {
        private final String kind;
        private final Holder holder;
        private long fixedBytes;
        private long reclaimableBytes;
        private boolean closed;

        private Account(String kind, Holder holder) {
            this.kind = kind;
            this.holder = holder;
        }

        /**
         * Sets what is held now, in bytes of heap.
         *
         * @param fixed what is held until the peer's connection ends or its requests are processed
         * @param reclaimable what {@link Holder#reclaim} would give back
         */
        public void set(long fixed, long reclaimable) {
            if (closed) {
                return;
            }
            usedBytes += fixed + reclaimable - total();
            if (reclaimableBytes == 0 && reclaimable > 0) {
                // A request begins: accounts are in the order in which that happened.
                accounts.remove(this);
                accounts.add(this);
            }
            fixedBytes = fixed;
            reclaimableBytes = reclaimable;
        }

        /** Nothing is held any more, now or later. */
        public void close() {
            set(0, 0);
            closed = true;
            accounts.remove(this);
        }

        /** What is held, in bytes of heap. */
        public long total() {
            return fixedBytes + reclaimableBytes;
        }
    }

    /** What was reclaimed from one account. */
    public record Reclaimed(String kind, long bytes) {
    }

    /** A budget of {@code limitBytes} bytes. */
    public MemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** The budget for a heap of this size in bytes. */
    public static MemoryBudget ofHeap(long heapBytes) {
        return new MemoryBudget(heapBytes / HEAP_PER_BUDGET);
    }

    /**
     * Opens an account that holds nothing yet.
     *
     * @param kind what it is counted under in {@link #usage}
     */
    public Account open(String kind, Holder holder) {
        Account account = new Account(kind, holder);
        accounts.add(account);
        return account;
    }

    /**
     * Reclaims the account that could give back most, if the budget is exceeded: of those in the largest size class, a power of
     * two, the one whose request began first. Empty if the budget is kept, or if no account could give back enough to matter.
     */
    public Optional<Reclaimed> reclaimLargest() {
        if (usedBytes <= limitBytes) {
            return Optional.empty();
        }
        Account largest = null;
        for (Account account : accounts) {
            if (largest == null || sizeClass(account) > sizeClass(largest)) {
                largest = account;
            }
        }
        if (largest == null || largest.reclaimableBytes < MIN_RECLAIM_BYTES) {
            return Optional.empty();
        }
        Reclaimed reclaimed = new Reclaimed(largest.kind, largest.reclaimableBytes);
        largest.holder.reclaim();
        largest.set(largest.fixedBytes, 0);
        return Optional.of(reclaimed);
    }

    private static int sizeClass(Account account) {
        return Long.SIZE - Long.numberOfLeadingZeros(account.reclaimableBytes);
    }

    /** The limit in bytes. */
    public long limitBytes() {
        return limitBytes;
    }

    /** What all accounts hold, in bytes. */
    public long usedBytes() {
        return usedBytes;
    }

    /** What the accounts of each kind hold, in bytes. */
    public Map<String, Long> usage() {
        Map<String, Long> bytesByKind = new TreeMap<>();
        accounts.forEach(account -> bytesByKind.merge(account.kind, account.total(), Long::sum));
        return bytesByKind;
    }
}

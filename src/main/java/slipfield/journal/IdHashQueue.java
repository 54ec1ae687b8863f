package slipfield.journal;

import java.util.Arrays;

/** The entries of {@link IdHash} that were added last, the oldest first; it grows up to its capacity, then drops the oldest. */
final class IdHashQueue {
    private static final int INITIAL_CAPACITY = 64;

    private final int capacity;
    private long[] entries;
    private int oldest;
    private int size;

    /** {@code capacity}: the greatest number of entries, 1 or more. */
    IdHashQueue(int capacity) {
        this.capacity = capacity;
        this.entries = new long[Math.min(INITIAL_CAPACITY, capacity)];
    }

    void add(long entry) {
        if (size == entries.length && size < capacity) {
            entries = Arrays.copyOf(toArray(), (int) Math.min(2L * size, capacity));
            oldest = 0;
        }
        if (size == entries.length) {
            entries[oldest] = entry;
            oldest = (oldest + 1) % size;
        } else {
            entries[(oldest + size++) % entries.length] = entry;
        }
    }

    int size() {
        return size;
    }

    int capacity() {
        return capacity;
    }

    /** A copy, the oldest first. */
    long[] toArray() {
        long[] all = new long[size];
        int untilEnd = Math.min(size, entries.length - oldest);
        System.arraycopy(entries, oldest, all, 0, untilEnd);
        System.arraycopy(entries, 0, all, untilEnd, size - untilEnd);
        return all;
    }
}

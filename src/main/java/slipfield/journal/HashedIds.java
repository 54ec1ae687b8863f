package slipfield.journal;

import java.util.Arrays;
import java.util.Optional;

/** The ids of messages that were completed when the last process ended, as hashes; see {@link IdHash}. Immutable. */
public final class HashedIds {
    /** Without any id. */
    public static final HashedIds NONE = new HashedIds(new long[0]);

    private final long[] sorted;

    HashedIds(long[] entries) {
        sorted = entries.clone();
        Arrays.sort(sorted);
    }

    /** Whether the message was delivered; empty if the id is not known. */
    public Optional<Boolean> delivered(String id) {
        if (contains(IdHash.entry(id, true))) {
            return Optional.of(true);
        }
        return contains(IdHash.entry(id, false)) ? Optional.of(false) : Optional.empty();
    }

    /** The number of ids. */
    public int size() {
        return sorted.length;
    }

    private boolean contains(long entry) {
        return Arrays.binarySearch(sorted, entry) >= 0;
    }
}

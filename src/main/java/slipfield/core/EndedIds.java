package slipfield.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Ids of messages that were over last, and whether they were delivered: lest one be taken on twice. One that comes again
 * after so many others is not known any more, and is taken as a new one.
 */
final class EndedIds {
    private final Map<String, Boolean> ids = new LinkedHashMap<>();
    private final int most;

    /** {@code most}: so many are known, 1 or more; one takes some 150 octets of heap. */
    EndedIds(int most) {
        this.most = most;
    }

    /** One is over. One that ended before keeps its place, and takes the newer end. */
    void add(String id, boolean delivered) {
        ids.put(id, delivered);
        if (ids.size() > most) {
            ids.remove(ids.keySet().iterator().next());
        }
    }

    /** How it ended, if it is known. */
    Optional<Boolean> delivered(String id) {
        return Optional.ofNullable(ids.get(id));
    }
}

package slipfield.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import slipfield.journal.HashedIds;

/**
 * The ids of the messages that ended last, and whether each was delivered, so that a duplicate is not accepted again. An id
 * drops out after a fixed number of others; a message with it is accepted as a new one then.
 */
final class EndedIds {
    private final Map<String, Boolean> deliveredById = new LinkedHashMap<>();
    private final int capacity;
    /** Older than those of the map. */
    private HashedIds earlier;

    /**
     * Creates the ids with those of earlier processes that are known by their hash only.
     *
     * @param capacity how many ids are remembered, 1 or more; each takes about 150 bytes of heap
     */
    EndedIds(int capacity, HashedIds earlier) {
        this.capacity = capacity;
        this.earlier = earlier;
    }

    /** Adds the id of an ended message. An id that is known keeps its position and gets the new result. */
    void add(String id, boolean delivered) {
        deliveredById.put(id, delivered);
        if (deliveredById.size() > capacity) {
            deliveredById.remove(deliveredById.keySet().iterator().next());
            earlier = HashedIds.NONE;
        }
    }

    /** Whether the message was delivered; empty if the id is not known. */
    Optional<Boolean> delivered(String id) {
        return Optional.ofNullable(deliveredById.get(id)).or(() -> earlier.delivered(id));
    }
}

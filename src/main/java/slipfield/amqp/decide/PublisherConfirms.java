package slipfield.amqp.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Publisher confirms of a channel. Each publish gets the next tag; each tag is confirmed once, by itself or by a confirm with
 * {@code multiple} for all tags up to it. {@code multiple} is used only if no tag up to there is pending and all that are not
 * yet confirmed have the same result; so a publisher that follows the specification never takes a pending one for confirmed.
 */
public final class PublisherConfirms {
    /** A confirm to send: {@code basic.ack} if {@code ack}, otherwise {@code basic.nack}. */
    public record Confirm(long tag, boolean multiple, boolean ack) {
    }

    /** Tags that are not confirmed yet: null while pending, then whether the result is an ack. */
    private final NavigableMap<Long, Boolean> unconfirmed = new TreeMap<>();
    private final List<Long> settled = new ArrayList<>();
    private long lastTag;
    private int pending;

    /** Assigns the tag of a publish, counting from 1. */
    public long assignTag() {
        lastTag++;
        pending++;
        unconfirmed.put(lastTag, null);
        return lastTag;
    }

    /** Whether this tag was assigned and has no result yet. */
    public boolean isPending(long tag) {
        return unconfirmed.containsKey(tag) && unconfirmed.get(tag) == null;
    }

    /** Records the final result of a tag. Returns false, and ignores it, if the tag has a result already or is unknown. */
    public boolean settle(long tag, boolean ack) {
        if (!isPending(tag)) {
            return false;
        }
        unconfirmed.put(tag, ack);
        settled.add(tag);
        pending--;
        return true;
    }

    /** Number of tags without a result. */
    public int pending() {
        return pending;
    }

    /** Returns the confirms to send now, in order. They count as sent. */
    public List<Confirm> takeDue() {
        if (settled.isEmpty()) {
            return List.of();
        }
        List<Confirm> due = new ArrayList<>();
        // From the lowest unconfirmed tag on: one confirm for each run of tags with the same result.
        while (!unconfirmed.isEmpty() && unconfirmed.firstEntry().getValue() != null) {
            boolean ack = unconfirmed.firstEntry().getValue();
            long upTo = 0;
            int count = 0;
            while (!unconfirmed.isEmpty() && unconfirmed.firstEntry().getValue() != null
                    && unconfirmed.firstEntry().getValue() == ack) {
                upTo = unconfirmed.pollFirstEntry().getKey();
                count++;
            }
            due.add(new Confirm(upTo, count > 1, ack));
        }
        for (long tag : settled) {
            if (unconfirmed.containsKey(tag)) {
                due.add(new Confirm(tag, false, unconfirmed.remove(tag)));
            }
        }
        settled.clear();
        return due;
    }
}

package slipfield.amqp.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * A channel's publisher confirms. Each publish has the next number; each number is confirmed once, by itself or by one
 * that stands for all below it. {@code multiple} is said only where every number up to there has the same end and none
 * below it is open: so a publisher that reads it as the specification has it never takes an open one for confirmed.
 */
public final class PublisherConfirms {
    /** A confirm to send: {@code basic.ack}, or {@code basic.nack}. */
    public record Confirm(long tag, boolean multiple, boolean ack) {
    }

    /** Numbers that are open or have an end that was not told yet: null while open, then whether it is an ack. */
    private final NavigableMap<Long, Boolean> untold = new TreeMap<>();
    private final List<Long> ended = new ArrayList<>();
    private long last;
    private int open;

    /** A publish came; its number, from 1. */
    public long assignTag() {
        last++;
        open++;
        untold.put(last, null);
        return last;
    }

    /** Whether this number has no end yet. */
    public boolean isPending(long tag) {
        return untold.containsKey(tag) && untold.get(tag) == null;
    }

    /** A number has its final answer; a second one for it is ignored, and told by {@code false}. */
    public boolean settle(long tag, boolean ack) {
        if (!isPending(tag)) {
            return false;
        }
        untold.put(tag, ack);
        ended.add(tag);
        open--;
        return true;
    }

    /** Numbers without an end. */
    public int pending() {
        return open;
    }

    /** What is to be told now, in its order. Those of it count as told. */
    public List<Confirm> takeDue() {
        if (ended.isEmpty()) {
            return List.of();
        }
        List<Confirm> due = new ArrayList<>();
        // From the lowest untold number on, while they have the same end: one confirm for all of them.
        while (!untold.isEmpty() && untold.firstEntry().getValue() != null) {
            boolean ack = untold.firstEntry().getValue();
            long upTo = 0;
            int many = 0;
            while (!untold.isEmpty() && untold.firstEntry().getValue() != null && untold.firstEntry().getValue() == ack) {
                upTo = untold.pollFirstEntry().getKey();
                many++;
            }
            due.add(new Confirm(upTo, many > 1, ack));
        }
        for (long tag : ended) {
            if (untold.containsKey(tag)) {
                due.add(new Confirm(tag, false, untold.remove(tag)));
            }
        }
        ended.clear();
        return due;
    }
}

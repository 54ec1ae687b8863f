package slipfield.recovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * The order in which held messages are taken up again, in slices with the loop free between them, so that no
 * message hangs on one long turn to be ended.
 *
 * <p>First come the notices that an earlier life answerPending, then the messages whose time is up, then those whose
 * time is up soon, the next to end first; the rest follow as they were taken. Ends go first because a late end
 * is a lost message, while a late send is only late. Messages of a class that keeps an order stay in it, since
 * the decision module lines them up as they come; the end of one that is overdue may come out of turn.
 */
public final class RecoveryPlan {
    /** Messages of one slice: some milliseconds of work also in the first second of a process. */
    public static final int RESUME_BATCH_SIZE = 64;
    /** Ends of one slice: no call is made for them, so they cost less. */
    public static final int ANSWER_BATCH_SIZE = 256;
    /** What has less time left than this goes before the rest: a start may take as long before it is sent. */
    public static final long DUE_SOON_MS = 1500;

    /** What a held message waits for. */
    public enum Action {
        /** Its end is decided, the platform has still to hear of it. */
        REPORT,
        /** Its time is up: an end has to be decided. */
        EXPIRE,
        /** It may still be delivered. */
        RESUME
    }

    /**
     * A held message; {@code remainingMs} until its time is up, negative where it is; {@code answerPending}: its end is
     * decided; {@code inOrder}: its class keeps an order.
     */
    public record Item(long number, long remainingMs, boolean answerPending, boolean inOrder) {
    }

    /** Messages that are taken up in one turn, in this order. */
    public record Batch(Action action, List<Long> numbers) {
        /** Keeps a copy. */
        public Batch {
            numbers = List.copyOf(numbers);
        }
    }

    private final Deque<Batch> slices = new ArrayDeque<>();

    /**
     * What a held message has left, in ms. A message is ended a reserve before its time is up, lest its end be told too late;
     * right after a restart no end is overdue yet (by the protocol, for 1.5 s). So what was never tried is given the reserve to
     * be tried in: it is given up with no call only where its client's own time is over.
     *
     * @param endsInMs until it would be ended in service, negative where that has passed
     * @param reserveMs what its client's time has beyond that, under 1 s
     * @param untried no attempt at it was made that may have run
     */
    public static long remainingMs(long endsInMs, long reserveMs, boolean untried) {
        return untried ? Math.max(endsInMs, Math.min(endsInMs + reserveMs, reserveMs)) : endsInMs;
    }

    /** Plans these messages, which come in the order taken. */
    public RecoveryPlan(Collection<Item> held) {
        List<Item> tell = new ArrayList<>();
        List<Item> end = new ArrayList<>();
        List<Item> soon = new ArrayList<>();
        List<Item> rest = new ArrayList<>();
        for (Item item : held) {
            if (item.answerPending()) {
                tell.add(item);
            } else if (item.remainingMs() <= 0) {
                end.add(item);
            } else if (item.remainingMs() < DUE_SOON_MS && !item.inOrder()) {
                soon.add(item);
            } else {
                rest.add(item);
            }
        }
        soon.sort(Comparator.comparingLong(Item::remainingMs));
        soon.addAll(rest);
        cut(Action.REPORT, tell, ANSWER_BATCH_SIZE);
        cut(Action.EXPIRE, end, ANSWER_BATCH_SIZE);
        cut(Action.RESUME, soon, RESUME_BATCH_SIZE);
    }

    private void cut(Action action, List<Item> items, int most) {
        for (int from = 0; from < items.size(); from += most) {
            List<Long> numbers = new ArrayList<>();
            for (Item item : items.subList(from, Math.min(from + most, items.size()))) {
                numbers.add(item.number());
            }
            slices.add(new Batch(action, numbers));
        }
    }

    /** Slices that are still to come. */
    public int remainingBatches() {
        return slices.size();
    }

    /** Whether an end is among what is still to come: nothing is to be sent before these are out. */
    public boolean hasAnswersLeft() {
        return !slices.isEmpty() && slices.peek().action() != Action.RESUME;
    }

    /** What the next turn takes up; there must be something left. */
    public Batch next() {
        return slices.remove();
    }
}

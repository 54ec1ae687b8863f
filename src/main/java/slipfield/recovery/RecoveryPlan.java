package slipfield.recovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * The order in which messages restored from the journal are processed after a restart. They are split into batches, and the
 * caller returns to the event loop between two batches, so that no final answer is delayed by one long iteration.
 *
 * <p>Final answers that the previous process still owed come first, then messages whose time is up, then messages whose time
 * is nearly up, the earliest deadline first. The rest follow in the order in which they were accepted. Answers go before
 * sends because a late answer counts as a lost message, while a late send is only late. Messages of a class that keeps an
 * order stay in it, because the decision module queues them in the order in which they arrive; only the answer of an overdue
 * one may leave out of order.
 */
public final class RecoveryPlan {
    /** Messages per batch of {@link Action#RESUME}: some milliseconds of work, even in the first second of a process. */
    public static final int RESUME_BATCH_SIZE = 64;
    /** Messages per batch of final answers. These make no call, so they cost less. */
    public static final int ANSWER_BATCH_SIZE = 256;
    /** Messages with less time left than this are resumed before the rest: a start may take this long before it sends them. */
    public static final long DUE_SOON_MS = 1500;

    /** What has to be done with a pending message. */
    public enum Action {
        /** Its final answer is decided; the platform has not acknowledged it yet. */
        REPORT,
        /** Its time is up: a final answer has to be decided. */
        EXPIRE,
        /** It may still be delivered. */
        RESUME
    }

    /**
     * A pending message.
     *
     * @param remainingMs until its time is up, negative once it is
     * @param answerPending its final answer is decided but not acknowledged
     * @param inOrder its class keeps an order
     */
    public record Item(long number, long remainingMs, boolean answerPending, boolean inOrder) {
    }

    /** Messages to process in one event-loop iteration, in this order. */
    public record Batch(Action action, List<Long> numbers) {
        /** Copies the list. */
        public Batch {
            numbers = List.copyOf(numbers);
        }
    }

    private final Deque<Batch> batches = new ArrayDeque<>();

    /**
     * Returns the time that a pending message has left, in ms. In normal operation a message gets its final answer a reserve
     * before its time is up, so that the answer arrives in time. Right after a restart no answer counts as overdue (by the
     * protocol, for 1.5 s), so a message that was never tried may use the reserve for an attempt: it is given up without one
     * only after its client's own time is over.
     *
     * @param endsInMs until it would get its final answer in normal operation, negative once that has passed
     * @param reserveMs how much longer its client's time lasts, under 1 s
     * @param untried no attempt was made that may have run
     */
    public static long remainingMs(long endsInMs, long reserveMs, boolean untried) {
        return untried ? Math.max(endsInMs, Math.min(endsInMs + reserveMs, reserveMs)) : endsInMs;
    }

    /** Plans these messages, given in the order in which they were accepted. */
    public RecoveryPlan(Collection<Item> pending) {
        List<Item> report = new ArrayList<>();
        List<Item> expire = new ArrayList<>();
        List<Item> resume = new ArrayList<>();
        List<Item> rest = new ArrayList<>();
        for (Item item : pending) {
            if (item.answerPending()) {
                report.add(item);
            } else if (item.remainingMs() <= 0) {
                expire.add(item);
            } else if (item.remainingMs() < DUE_SOON_MS && !item.inOrder()) {
                resume.add(item);
            } else {
                rest.add(item);
            }
        }
        resume.sort(Comparator.comparingLong(Item::remainingMs));
        resume.addAll(rest);
        addBatches(Action.REPORT, report, ANSWER_BATCH_SIZE);
        addBatches(Action.EXPIRE, expire, ANSWER_BATCH_SIZE);
        addBatches(Action.RESUME, resume, RESUME_BATCH_SIZE);
    }

    private void addBatches(Action action, List<Item> items, int batchSize) {
        for (int from = 0; from < items.size(); from += batchSize) {
            List<Long> numbers = new ArrayList<>();
            for (Item item : items.subList(from, Math.min(from + batchSize, items.size()))) {
                numbers.add(item.number());
            }
            batches.add(new Batch(action, numbers));
        }
    }

    /** Returns the number of batches that are left. */
    public int remainingBatches() {
        return batches.size();
    }

    /** Returns whether final answers are left. Nothing may be sent before these are out. */
    public boolean hasAnswersLeft() {
        return !batches.isEmpty() && batches.peek().action() != Action.RESUME;
    }

    /** Removes and returns the next batch. Fails if none is left. */
    public Batch next() {
        return batches.remove();
    }
}

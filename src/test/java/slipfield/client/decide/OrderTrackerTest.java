package slipfield.client.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the parts of the order tracker, and its decisions when senders fail. */
class OrderTrackerTest {
    /** A tracker whose submissions are recorded and answered by the test; connections are never opened by themselves. */
    private static final class Harness implements OrderTracker.Actions {
        private final OrderTracker tracker;
        private final Map<Long, End> answers = new HashMap<>();
        private final List<String> sendersUsed = new ArrayList<>();
        private long nextNumber;
        private long lastOrder;
        private int lastAttempt;

        Harness(Rules rules, String... senders) {
            tracker = new OrderTracker(rules, new SplittableRandom(5), 0, this);
            tracker.updateSenders(0, List.of(senders));
        }

        long submit(long now, long withinMs) {
            tracker.submit(now, nextNumber, ClassRule.unsafe(), "7", "t", withinMs);
            return nextNumber++;
        }

        void answer(long now, SubmissionReply reply) {
            tracker.onReply(now, lastOrder, lastAttempt, reply, true, false);
        }

        private String lastSender() {
            return sendersUsed.get(sendersUsed.size() - 1);
        }

        @Override
        public void send(long order, int attempt, String sender, long budgetMs, OrderTracker.PreviousSubmission previous) {
            lastOrder = order;
            lastAttempt = attempt;
            sendersUsed.add(sender);
        }

        @Override
        public void abandon(long order, int attempt) {
        }

        @Override
        public void connect(String sender, boolean probe) {
        }

        @Override
        public void complete(long order, End end) {
            answers.put(order, end);
        }
    }

    @Test
    void retryBudgetGrowsByAShareOfFirstSubmissionsAndOnePerSecond() {
        RetryBudget budget = new RetryBudget(0.2, 10, 0);
        for (int i = 0; i < 10; i++) {
            assertTrue(budget.tryTake(0));
        }
        assertFalse(budget.tryTake(0));
        assertEquals(1000, budget.nextTokenMs(0));
        for (int i = 0; i < 50; i++) {
            budget.onFirstSubmission();
        }
        int retries = 0;
        while (budget.tryTake(0)) {
            retries++;
        }
        assertEquals(10, retries, 1);
        assertTrue(budget.tryTake(1000) && !budget.tryTake(1000), "one token per second");
    }

    @Test
    void concurrencyLimitConvergesToWhatTheSenderAnswersQuickly() {
        ConcurrencyLimit limit = new ConcurrencyLimit(2, 100, 0);
        assertEquals(8, limit.limit());
        long now = 0;
        // The sender handles 20 submissions at once; each further one adds 2 ms to the latency.
        for (int i = 0; i < 20_000; i++) {
            now++;
            int inFlight = limit.limit();
            limit.onAnswer(now, 5 + 2.0 * Math.max(0, inFlight - 20), inFlight);
        }
        assertTrue(limit.limit() >= 18 && limit.limit() <= 32, "the limit is " + limit.limit());
        for (int i = 0; i < 100; i++) {
            now += 200;
            limit.onOverload(now);
        }
        assertEquals(2, limit.limit());
    }

    @Test
    void concurrencyLimitIsReducedOncePerFault() {
        ConcurrencyLimit limit = new ConcurrencyLimit(2, 100, 0);
        for (int i = 0; i < 50; i++) {
            limit.onOverload(1000);
        }
        assertEquals(5, limit.limit());
    }

    @Test
    void aSenderThatDoesNotAnswerIsEjected() {
        Rules rules = Rules.DEFAULT;
        Harness harness = new Harness(rules, "bad", "good");
        for (String sender : List.of("bad", "good")) {
            for (int i = 0; i < 8; i++) {
                harness.tracker.onConnected(0, sender);
            }
        }
        long now = 10_000;
        int lost = 0;
        while (lost < rules.ejectAfter()) {
            harness.submit(now, 20_000);
            boolean bad = harness.lastSender().equals("bad");
            harness.answer(now, bad ? SubmissionReply.lost("") : SubmissionReply.accepted());
            lost += bad ? 1 : 0;
        }
        harness.sendersUsed.clear();
        for (int i = 0; i < 200; i++) {
            harness.submit(now + 10, 20_000);
            harness.answer(now + 10, SubmissionReply.accepted());
        }
        for (int i = 0; i < 9; i++) {
            harness.submit(now + 20, 20_000);
        }
        assertFalse(harness.sendersUsed.contains("bad"), "it is ejected, even when the other has no idle connection");
        harness.tracker.close(now + 30);
    }

    @Test
    void aSenderThatComesBackGetsItsShareOfTheLoadSlowly() {
        Harness harness = new Harness(Rules.DEFAULT.atMost(64, 64), "fresh", "old");
        for (int i = 0; i < 20; i++) {
            harness.tracker.onConnected(0, "old");
        }
        for (int i = 0; i < 20; i++) {
            harness.tracker.onConnected(100_000, "fresh");
        }
        for (int i = 0; i < 12; i++) {
            harness.submit(100_001, 20_000);
        }
        assertTrue(harness.sendersUsed.stream().filter("fresh"::equals).count() <= 2, "of 12: " + harness.sendersUsed);
    }

    @Test
    void withEverySenderEjectedOneIsStillUsed() {
        Harness harness = new Harness(Rules.DEFAULT, "only");
        for (int i = 0; i < 30; i++) {
            harness.tracker.onConnected(0, "only");
        }
        for (int i = 0; i < 10; i++) {
            harness.submit(10, 20_000);
            harness.answer(10, SubmissionReply.lost(""));
        }
        assertEquals(10, harness.sendersUsed.size());
    }

    @Test
    void anAcceptedOrderCannotBeCancelled() {
        Harness harness = new Harness(Rules.DEFAULT.following(true), "s");
        harness.tracker.onConnected(0, "s");
        long accepted = harness.submit(0, 20_000);
        harness.answer(5, SubmissionReply.accepted());
        assertFalse(harness.tracker.cancel(6, accepted));
        assertTrue(harness.answers.isEmpty());
        harness.tracker.onFinalAnswer(7, accepted, 1, new End.Delivered());
        assertInstanceOf(End.Delivered.class, harness.answers.get(accepted));
    }

    @Test
    void ordersAreSubmittedByEarliestDeadline() {
        Harness harness = new Harness(Rules.DEFAULT.atMost(1, 1), "s");
        long late = harness.submit(0, 20_000);
        long soon = harness.submit(0, 5000);
        harness.tracker.onConnected(10, "s");
        assertEquals(soon, harness.lastOrder);
        harness.answer(20, SubmissionReply.accepted());
        assertEquals(late, harness.lastOrder);
    }

    @Test
    void anOrderBeyondTheQueueLimitIsRefusedAtOnce() {
        Harness harness = new Harness(Rules.DEFAULT, "s");
        long last = 0;
        for (int i = 0; i <= Rules.DEFAULT.mostQueued(); i++) {
            last = harness.submit(0, 20_000);
        }
        assertEquals(1, harness.answers.size());
        assertInstanceOf(End.Refused.class, harness.answers.get(last));
    }

    @Test
    void aDeliveryReportedBeforeTheReplyEndsTheOrderAndTheReplyFreesTheConnection() {
        Harness harness = new Harness(Rules.DEFAULT.following(true).atMost(1, 1), "s");
        harness.tracker.onConnected(0, "s");
        long first = harness.submit(0, 20_000);
        harness.tracker.onFinalAnswer(5, first, 1, new End.Delivered());
        assertInstanceOf(End.Delivered.class, harness.answers.get(first));
        long second = harness.submit(6, 20_000);
        assertEquals(first, harness.lastOrder, "the connection still awaits the reply to the first order");
        harness.tracker.onReply(7, first, 1, SubmissionReply.accepted(), true, false);
        assertEquals(second, harness.lastOrder);
        assertEquals(1, harness.answers.size());
    }
}
